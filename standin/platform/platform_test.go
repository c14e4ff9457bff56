package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func start(t *testing.T, options Options) (*Server, string) {
	s := New(options)
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	return s, web.URL
}

// do sends a call; precondition is a version, "*" or nothing.
func do(t *testing.T, method, url, precondition, body string) (status int, version uint64, answer string) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	must.NoError(t, err)
	switch precondition {
	case "":
	case "*":
		r.Header.Set("If-None-Match", "*")
	default:
		r.Header.Set("If-Match", strconv.Quote(precondition))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	version, _ = strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return response.StatusCode, version, strings.TrimSpace(string(read))
}

func TestObjectProtocol(t *testing.T) {
	s, url := start(t, Options{})
	for i, step := range []struct {
		method, path, precondition, body string
		status                           int
		version                          uint64
		answer                           string
	}{
		{"GET", "/objects/a/b", "", "", 404, 0, "no such object"},
		{"PUT", "/objects/a/b", "", "x", 428, 0, errPrecondition.Error()},
		{"PUT", "/objects/a/b", "*", "x", 200, 1, ""},
		{"PUT", "/objects/a/b", "*", "y", 412, 0, "version conflict"},
		{"PUT", "/objects/a/b", "7", "y", 412, 0, "version conflict"},
		{"PUT", "/objects/a/b", "1", "y", 200, 2, ""},
		{"GET", "/objects/a/b", "", "", 200, 2, "y"},
		{"DELETE", "/objects/a/b", "", "", 428, 0, errPrecondition.Error()},
		{"DELETE", "/objects/a/b", "1", "", 412, 0, ""},
		{"DELETE", "/objects/a/b", "2", "", 204, 0, ""},
		{"DELETE", "/objects/a/b", "2", "", 404, 0, ""},
		{"PUT", "/objects/a/b", "*", "z", 200, 3, ""},
		{"PUT", "/objects/a/big", "*", strings.Repeat("v", MaxValueBytes+1), 413, 0, "http: request body too large"},
		{"PUT", "/objects/c", "*", "c", 200, 4, ""},
		{"GET", "/objects?prefix=a/&limit=9", "", "", 200, 0, `[{"key":"a/b","version":3}]`},
		{"GET", "/objects?prefix=&limit=1", "", "", 200, 0, `[{"key":"a/b","version":3}]`},
		{"GET", "/objects/c?watch=0&wait=20", "", "", 200, 4, "c"},
		{"GET", "/objects/c?watch=4&wait=0.01", "", "", 200, 4, "c"},
		{"GET", "/objects/d?watch=0&wait=0.01", "", "", 404, 0, "no such object"},
		{"GET", "/hosts", "", "", 200, 0, "[]"},
	} {
		status, version, answer := do(t, step.method, url+step.path, step.precondition, step.body)
		must.Eq(t, step.status, status, must.Sprintf("step %d: %s", i, answer))
		must.Eq(t, step.version, version, must.Sprintf("step %d", i))
		must.Eq(t, step.answer, answer, must.Sprintf("step %d", i))
	}
	must.Eq(t, Counts{Get: 2, Put: 8, Delete: 4, Watch: 3, List: 2, Hosts: 1}, s.Counts())
}

func TestWatchWakes(t *testing.T) {
	s, url := start(t, Options{})
	first := s.Put("k", []byte("1"))
	got := make(chan string)
	go func() {
		_, _, answer := do(t, "GET", url+"/objects/k?watch="+strconv.FormatUint(first, 10)+"&wait=20", "", "")
		got <- answer
	}()
	for s.Counts().Watch == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Put("k", []byte("2"))
	must.Eq(t, "2", <-got)
}

func TestFaults(t *testing.T) {
	s, url := start(t, Options{Faults: Faults{LoseAnswers: 1, HostLagMillis: 3_600_000}})
	status, _, _ := do(t, "PUT", url+"/objects/k", "*", "v")
	must.Eq(t, 0, status)
	value, version := s.Get("k")
	must.Eq(t, "v", string(value))
	must.Eq(t, 1, version)
	status, _, _ = do(t, "PUT", url+"/objects/k", "1", "w")
	must.Eq(t, 200, status)

	s.SetHosts([]Host{{Name: "bkk-a-1", Role: "agent"}})
	_, _, answer := do(t, "GET", url+"/hosts", "", "")
	must.Eq(t, "[]", answer)

	s.SetFaults(Faults{Outage: OutageRefuse})
	status, _, _ = do(t, "GET", url+"/objects/k", "", "")
	must.Eq(t, 503, status)

	encoded, err := json.Marshal(Faults{CallsPerSecond: 1e-9})
	must.NoError(t, err)
	status, _, _ = do(t, "PUT", url+"/control/faults", "", string(encoded))
	must.Eq(t, 204, status)
	status, _, _ = do(t, "GET", url+"/objects/k", "", "")
	must.Eq(t, 429, status)
	must.Eq(t, 2, s.Counts().Refused)
}

func TestOutageEndsWaitingWatch(t *testing.T) {
	for outage, want := range map[Outage]int{OutageRefuse: 503, OutageHang: 0} {
		s, url := start(t, Options{})
		got := make(chan int)
		go func() {
			status, _, _ := do(t, "GET", url+"/objects/k?watch=0&wait=20", "", "")
			got <- status
		}()
		for s.Counts().Watch == 0 {
			time.Sleep(time.Millisecond)
		}
		s.SetFaults(Faults{Outage: outage})
		if outage == OutageHang {
			s.SetFaults(Faults{})
			s.Put("k", []byte("1"))
		}
		status := <-got
		must.True(t, status == want || (outage == OutageHang && status == 200))
	}
}
