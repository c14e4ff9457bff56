package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestFaultModesCountRuns(t *testing.T) {
	s := New(Options{Name: "replica-1"})
	web := httptest.NewServer(s)
	defer web.Close()
	call := func() (string, error) {
		response, err := http.Post(web.URL+"/transfers", "application/json", strings.NewReader(`{"operation":"op-1"}`))
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		read, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		return strings.TrimSpace(string(read)), err
	}
	for run, mode := range []Mode{ModeLoseAnswer, ModeGarbage, ModeEndless} {
		s.SetFaults(Faults{Mode: mode, Calls: 1})
		answer, err := call()
		must.Eq(t, mode != ModeEndless, err != nil, must.Sprintf("%s: %v", mode, err))
		must.True(t, err != nil || len(answer) == 1<<20)
		must.Eq(t, map[string]int{"op-1": run + 1}, s.Runs())
		must.Eq(t, Faults{}, s.Faults())
	}
	answer, err := call()
	must.NoError(t, err)
	must.Eq(t, `{"replica":"replica-1","operation":"op-1","run":4,"method":"POST","path":"/transfers"}`, answer)
}
