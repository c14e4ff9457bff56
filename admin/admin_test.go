package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/health"
	"dandelionrill.example/fleet/problem"
	"dandelionrill.example/fleet/timeline"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const token = "operator-token-1"

// memoryStore is a ConfigurationStore in memory that can simulate an outage.
type memoryStore struct {
	current *config.Config
	outage  bool
}

func (m *memoryStore) Current(context.Context) (*config.Config, error) {
	if m.outage {
		return nil, errors.New("no answer")
	}
	return m.current, nil
}

func (m *memoryStore) Publish(_ context.Context, cfg *config.Config, base uint64) (uint64, error) {
	switch {
	case m.outage:
		return 0, errors.New("no answer")
	case cfg.Author == "":
		return 0, &InvalidError{Findings: []problem.Finding{{Place: "author", Message: "required"}}}
	case m.current != nil && base != m.current.Version || m.current == nil && base != 0:
		return 0, &ConflictError{Base: base, Newest: m.current.Version}
	}
	cfg.Version = base + 1
	m.current = cfg
	return cfg.Version, nil
}

type fixture struct {
	handler http.Handler
	health  *health.Health
	store   *memoryStore
	drains  int
}

func newFixture() *fixture {
	f := &fixture{health: health.New(health.Configured, health.Accepting), store: &memoryStore{}}
	f.handler = New(Options{
		Token: token, Health: f.health, Timeline: timeline.New(timeline.Options{Process: "r1/router"}),
		Status:        func() Status { return Status{Process: "r1/router", Drain: Drain{Draining: f.drains > 0}} },
		Drain:         func() { f.drains++ },
		Configuration: f.store,
	})
	return f
}

func (f *fixture) do(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

func TestTokenIsRequired(t *testing.T) {
	f := newFixture()
	for _, authorization := range []string{"", "Bearer ", "Bearer wrong", token, "Basic " + token} {
		for _, route := range []string{"GET /status", "GET /timeline", "GET /debug/vars", "POST /drain", "GET /config", "PUT /config"} {
			method, path, _ := strings.Cut(route, " ")
			must.Eq(t, 401, f.do(method, path, "", "Authorization", authorization).Code, must.Sprint(route, authorization))
		}
	}
	must.Eq(t, 0, f.drains)
	must.Eq(t, 200, f.do("GET", "/livez", "", "Authorization", "").Code)
	withoutToken := New(Options{Health: f.health, Timeline: timeline.New(timeline.Options{}), Status: func() Status { return Status{} }})
	f.handler = withoutToken
	must.Eq(t, 401, f.do("GET", "/status", "", "Authorization", "Bearer ").Code)
}

func TestReadiness(t *testing.T) {
	f := newFixture()
	must.Eq(t, 503, f.do("GET", "/readyz", "").Code)
	must.True(t, f.health.Set(health.Configured, true, ""))
	f.health.Set(health.Accepting, true, "")
	must.False(t, f.health.Set(health.Accepting, true, ""))
	must.Eq(t, 200, f.do("GET", "/readyz", "").Code)
	f.health.Set(health.Accepting, false, "draining")
	w := f.do("GET", "/readyz", "")
	must.Eq(t, 503, w.Code)
	must.StrContains(t, w.Body.String(), `"reason":"draining"`)
	must.Eq(t, 202, f.do("POST", "/drain", "").Code)
	var s Status
	must.NoError(t, json.Unmarshal(f.do("GET", "/status", "").Body.Bytes(), &s))
	must.True(t, s.Drain.Draining)
	must.False(t, s.Ready)
	must.Eq(t, 200, f.do("GET", "/debug/vars", "").Code)
	must.Eq(t, 405, f.do("GET", "/drain", "").Code)
}

func TestConfiguration(t *testing.T) {
	f := newFixture()
	valid, next := `{"author":"a"}`, `{"author":"b"}`
	for _, tc := range []struct {
		name, method, body string
		header             []string
		outage             bool
		want               int
	}{
		{"no configuration yet", "GET", "", nil, false, 404},
		{"no precondition", "PUT", valid, nil, false, 428},
		{"weak precondition", "PUT", valid, []string{"If-Match", `W/"1"`}, false, 428},
		{"any version", "PUT", valid, []string{"If-Match", "*"}, false, 428},
		{"version 0", "PUT", valid, []string{"If-Match", `"0"`}, false, 428},
		{"malformed JSON", "PUT", `{`, []string{"If-None-Match", "*"}, false, 400},
		{"two JSON values", "PUT", valid + valid, []string{"If-None-Match", "*"}, false, 400},
		{"unknown field", "PUT", `{"autor":"a"}`, []string{"If-None-Match", "*"}, false, 400},
		{"findings", "PUT", `{}`, []string{"If-None-Match", "*"}, false, 422},
		{"too large", "PUT", `{"author":"` + strings.Repeat("a", maxConfigBytes) + `"}`, []string{"If-None-Match", "*"}, false, 413},
		{"publish during an outage", "PUT", valid, []string{"If-None-Match", "*"}, true, 503},
		{"first", "PUT", valid, []string{"If-None-Match", "*"}, false, 200},
		{"next", "PUT", next, []string{"If-Match", `"1"`}, false, 200},
		{"conflict", "PUT", next, []string{"If-Match", `"1"`}, false, 412},
		{"read", "GET", "", nil, false, 200},
		{"read during an outage", "GET", "", nil, true, 503},
	} {
		f.store.outage = tc.outage
		w := f.do(tc.method, "/config", tc.body, tc.header...)
		must.Eq(t, tc.want, w.Code, must.Sprint(tc.name))
		if tc.outage {
			must.Eq(t, "5", w.Header().Get("Retry-After"), must.Sprint(tc.name))
		}
	}
	f.store.outage = false
	must.Eq(t, `"2"`, f.do("GET", "/config", "").Header().Get("ETag"))
	must.Eq(t, "b", f.store.current.Author)
}
