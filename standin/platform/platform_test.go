package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const objectsPath = "/dandelionrill/objects/"

func start(t *testing.T, options Options) (*Server, string) {
	s := New(options)
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	return s, web.URL
}

// do sends a call and returns the answer; status 0 means that no answer came.
func do(t *testing.T, method, url, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response.StatusCode, strings.TrimSpace(string(read))
}

// objectJSON returns the JSON of an object as the stand-in answers with it.
func objectJSON(name string, revision, created int, spec string) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizerList":null,"deletionPending":false},"spec":%s,"status":null}`,
		name, revision, created, spec)
}

// requestJSON returns the JSON of an object as a caller sends it; revision 0
// matches any.
func requestJSON(name string, revision int, spec string) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s}`, name, revision, spec)
}

func TestObjectProtocol(t *testing.T) {
	s, url := start(t, Options{})
	url += objectsPath
	for i, step := range []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"GET", "a/b", "", 404, "no such object"},
		{"PUT", "a/b", requestJSON("b", 0, "1"), 404, "no such object"},
		{"POST", "a", requestJSON("b", 0, "1"), 200, objectJSON("b", 1, 1, "1")},
		{"POST", "a", requestJSON("b", 0, "2"), 409, objectJSON("b", 1, 1, "1")},
		{"PUT", "a/b", requestJSON("b", 7, "2"), 409, objectJSON("b", 1, 1, "1")},
		{"PUT", "a/b", requestJSON("b", 1, "2"), 200, objectJSON("b", 2, 1, "2")},
		{"PUT", "a/b", requestJSON("b", 0, "2"), 200, objectJSON("b", 2, 1, "2")}, // changes nothing
		{"PUT", "a/b", requestJSON("b", 0, "3"), 200, objectJSON("b", 3, 1, "3")},
		{"GET", "a/b", "", 200, objectJSON("b", 3, 1, "3")},
		{"DELETE", "a/b?revision=1", "", 409, objectJSON("b", 3, 1, "3")},
		{"DELETE", "a/b?revision=3", "", 200, objectJSON("b", 4, 1, "3")},
		{"DELETE", "a/b", "", 404, "no such object"},
		{"POST", "a", requestJSON("c", 0, "4"), 200, objectJSON("c", 5, 5, "4")},
		{"POST", "a", "not json", 400, ""},
		{"POST", "a", requestJSON("big", 0, strconv.Quote(strings.Repeat("v", MaxValueBytes))), 413, ""},
		{"GET", "a", "", 200, `{"entries":[` + objectJSON("c", 5, 5, "4") + `],"more":false,"at":5}`},
		{"GET", "a?after=c", "", 200, `{"entries":[],"more":false,"at":5}`},
		{"GET", "a?subscription=4&waitMs=20000", "", 200, `{"events":[{"deleted":false,"object":` + objectJSON("c", 5, 5, "4") + `}],"at":5}`},
		{"GET", "a?subscription=5&waitMs=1", "", 200, `{"events":[],"at":5}`},
		{"GET", "other?subscription=0&waitMs=1", "", 200, `{"events":[],"at":5}`},
		{"GET", "a?subscription=x&waitMs=1", "", 400, "bad subscription"},
		{"GET", "hosts", "", 200, `{"entries":[],"more":false,"at":5}`},
	} {
		status, answer := do(t, step.method, url+step.path, step.body)
		must.Eq(t, step.status, status, must.Sprintf("step %d: %s", i, answer))
		if step.answer != "" {
			must.Eq(t, step.answer, answer, must.Sprintf("step %d", i))
		}
	}
	must.Eq(t, Counts{Get: 2, Put: 10, Delete: 3, Watch: 4, List: 2, Hosts: 1}, s.Counts())
}

func TestFinalizersDelayDeletion(t *testing.T) {
	_, url := start(t, Options{})
	url += objectsPath
	withFinalizer := `{"metadata":{"name":"b","finalizerList":["f"]},"spec":1}`
	status, _ := do(t, "POST", url+"a", withFinalizer)
	must.Eq(t, 200, status)
	_, answer := do(t, "DELETE", url+"a/b", "")
	must.StrContains(t, answer, `"deletionPending":true`)
	status, _ = do(t, "GET", url+"a/b", "")
	must.Eq(t, 200, status)
	status, _ = do(t, "PUT", url+"a/b", `{"metadata":{"name":"b"},"spec":1}`)
	must.Eq(t, 200, status)
	status, _ = do(t, "GET", url+"a/b", "")
	must.Eq(t, 404, status)
}

func TestReplaceStatusKeepsSpec(t *testing.T) {
	_, url := start(t, Options{})
	url += objectsPath
	do(t, "POST", url+"a", requestJSON("b", 0, "1"))
	do(t, "PUT", url+"a/b/status", `{"metadata":{"name":"b"},"status":{"x":1}}`)
	_, answer := do(t, "GET", url+"a/b", "")
	must.StrContains(t, answer, `"spec":1,"status":{"x":1}`)
}

func TestListIsPaginated(t *testing.T) {
	s, url := start(t, Options{})
	for i := range maxPageEntries + 1 {
		s.SetObject("a", fmt.Sprintf("%04d", i), []byte("1"))
	}
	_, answer := do(t, "GET", url+objectsPath+"a", "")
	must.StrContains(t, answer, `"more":true`)
	_, answer = do(t, "GET", url+objectsPath+fmt.Sprintf("a?after=%04d", maxPageEntries-1), "")
	must.StrContains(t, answer, `"more":false`)
	must.StrContains(t, answer, fmt.Sprintf("%04d", maxPageEntries))
}

func TestWatchReturnsOnChange(t *testing.T) {
	s, url := start(t, Options{})
	first := s.SetObject("a", "k", []byte("1"))
	got := make(chan string)
	go func() {
		_, answer := do(t, "GET", fmt.Sprintf("%s%sa?subscription=%d&waitMs=20000", url, objectsPath, first), "")
		got <- answer
	}()
	for s.Counts().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	s.RemoveObject("a", "k")
	must.StrContains(t, <-got, `"deleted":true`)
}

func TestWatchOfCompactedHistoryFails(t *testing.T) {
	s, url := start(t, Options{})
	at := s.SetObject("a", "k", []byte("1"))
	s.SetObject("a", "k", []byte("2"))
	s.CompactHistory()
	status, _ := do(t, "GET", fmt.Sprintf("%s%sa?subscription=%d&waitMs=1", url, objectsPath, at), "")
	must.Eq(t, 410, status)
	status, _ = do(t, "GET", fmt.Sprintf("%s%sa?subscription=%d&waitMs=1", url, objectsPath, at+1), "")
	must.Eq(t, 200, status)
}

func TestFaults(t *testing.T) {
	s, url := start(t, Options{Faults: Faults{LoseAnswers: 1, HostLagMillis: 3_600_000}})
	status, _ := do(t, "POST", url+objectsPath+"a", requestJSON("k", 0, "1"))
	must.Eq(t, 0, status)
	status, _ = do(t, "GET", url+objectsPath+"a/k", "")
	must.Eq(t, 200, status) // the create took effect although its answer was lost
	status, _ = do(t, "PUT", url+objectsPath+"a/k", requestJSON("k", 1, "2"))
	must.Eq(t, 200, status)

	s.SetHosts([]Host{{Name: "bkk-a-1", Role: "agent"}})
	_, answer := do(t, "GET", url+objectsPath+"hosts", "")
	must.StrContains(t, answer, `"entries":[]`)

	s.SetFaults(Faults{Outage: OutageRefuse})
	status, _ = do(t, "GET", url+objectsPath+"a/k", "")
	must.Eq(t, 503, status)

	encoded, err := json.Marshal(Faults{CallsPerSecond: 1e-9})
	must.NoError(t, err)
	status, _ = do(t, "PUT", url+"/control/faults", string(encoded))
	must.Eq(t, 204, status)
	status, _ = do(t, "GET", url+objectsPath+"a/k", "")
	must.Eq(t, 429, status)
	must.Eq(t, 2, s.Counts().Refused)
}

func TestOutageEndsWaitingWatch(t *testing.T) {
	for outage, want := range map[Outage]int{OutageRefuse: 503, OutageHang: 0} {
		s, url := start(t, Options{})
		got := make(chan int)
		go func() {
			status, _ := do(t, "GET", url+objectsPath+"a?subscription=0&waitMs=20000", "")
			got <- status
		}()
		for s.Counts().Watch == 0 {
			time.Sleep(time.Millisecond)
		}
		s.SetFaults(Faults{Outage: outage})
		if outage == OutageHang {
			s.SetFaults(Faults{})
			s.SetObject("a", "k", []byte("1"))
		}
		status := <-got
		must.True(t, status == want || (outage == OutageHang && status == 200))
	}
}

func TestValuesByKey(t *testing.T) {
	s, _ := start(t, Options{})
	revision := s.Put("claims/a/b", []byte("\x00x"))
	value, at := s.Get("claims/a/b")
	must.Eq(t, "\x00x", string(value))
	must.Eq(t, revision, at)
	_, at = s.Get("claims/none")
	must.Eq(t, 0, at)
}

func TestSetValueThroughControlEndpoint(t *testing.T) {
	s, url := start(t, Options{})
	status, _ := do(t, "PUT", url+"/control/values/config/current", "x")
	must.Eq(t, 204, status)
	value, _ := s.Get("config/current")
	must.Eq(t, "x", string(value))
}
