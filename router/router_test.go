package router_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/standin/engine"
	"dandelionrill.example/standin/service"
)

// fleet is two routers that share engines and service replicas.
type fleet struct {
	engines  map[string]*engine.Server
	services map[string]*service.Server
	routers  [2]*fleettest.Router
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{engines: map[string]*engine.Server{}, services: map[string]*service.Server{}}
	var upstreams []*fleettest.Upstream
	cfg := fleettest.Config(1)
	for _, name := range []string{"e1", "e2", "e3"} {
		f.engines[name] = engine.New(engine.Options{Name: name})
		upstreams = append(upstreams, fleettest.StartUpstream(t, name, fleettest.ModelService, f.engines[name], cfg, nil))
	}
	for _, name := range []string{"s1", "s2"} {
		f.services[name] = service.New(service.Options{Name: name})
		upstreams = append(upstreams, fleettest.StartUpstream(t, name, fleettest.PlainService, f.services[name], cfg, nil))
	}
	for i, name := range []string{"r1", "r2"} {
		f.routers[i] = fleettest.StartRouter(t, name, cfg, upstreams, nil, nil)
	}
	return f
}

// runs returns how many times the services ran operation.
func (f *fleet) runs(operation string) int {
	n := 0
	for _, s := range f.services {
		n += s.Runs()[operation]
	}
	return n
}

func chatBody(stream string) string {
	return `{"model":"` + fleettest.Model + `","stream":` + stream + `,"max_tokens":20,"messages":[{"role":"user","content":"draft the annual statement of member 17 of the rice cooperative"}]}`
}

func TestChatTokenRoutesToSameEngine(t *testing.T) {
	f := newFleet(t)
	chat := map[string]string{router.HeaderChat: "c1"}
	first := f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody("false"), chat)
	must.Eq(t, 200, first.Status, must.Sprint(first.Body))
	token := first.Header.Get(router.HeaderChatToken)
	must.NotEq(t, "", token)
	chat[router.HeaderChatToken] = token
	second := f.routers[1].Do(t, "POST", "/v1/chat/completions", chatBody("true"), chat)
	must.Eq(t, 200, second.Status)
	must.True(t, strings.HasSuffix(second.Body, "data: [DONE]\n\n"))
	busy := 0
	for _, e := range f.engines {
		if e.Stats().Requests > 0 {
			busy++
			must.Eq(t, 2, e.Stats().Requests)
		}
	}
	must.Eq(t, 1, busy)
}

func TestTransferRunsOnceThroughTwoRouters(t *testing.T) {
	f := newFleet(t)
	body := `{"operation":"t1","shares":5}`
	first := f.routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", body, nil)
	must.Eq(t, 200, first.Status, must.Sprint(first.Body))
	ticket := first.Header.Get(router.HeaderTicket)
	repeat := map[string]string{router.HeaderTicket: ticket}
	second := f.routers[1].Do(t, "POST", "/v1/services/share-ledger/transfers", body, repeat)
	must.Eq(t, first.Body, second.Body)
	must.Eq(t, 1, f.runs("t1"))
	other := f.routers[1].Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"t2"}`, repeat)
	must.Eq(t, 422, other.Status)
	must.Eq(t, 0, f.runs("t2"))
	outcome := f.routers[1].Do(t, "GET", "/v1/tickets/"+ticket, "", nil)
	must.Eq(t, first.Body, outcome.Body)
}

func TestRevokedTicketDoesNotRun(t *testing.T) {
	f := newFleet(t)
	issued := f.routers[0].Do(t, "POST", "/v1/tickets", `{"service":"share-ledger"}`, nil)
	must.Eq(t, 201, issued.Status, must.Sprint(issued.Body))
	ticket := issued.Header.Get(router.HeaderTicket)
	must.Eq(t, 202, f.routers[1].Do(t, "GET", "/v1/tickets/"+ticket, "", nil).Status)
	must.Eq(t, 204, f.routers[1].Do(t, "DELETE", "/v1/tickets/"+ticket, "", nil).Status)
	late := f.routers[0].Do(t, "POST", "/v1/services/share-ledger/transfers", `{"operation":"t3"}`, map[string]string{router.HeaderTicket: ticket})
	must.Eq(t, 409, late.Status)
	must.StrContains(t, late.Body, `"outcome":"not-run"`)
	must.Eq(t, 0, f.runs("t3"))
}

func TestResumeThroughOtherRouter(t *testing.T) {
	f := newFleet(t)
	complete := f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody("true"), map[string]string{router.HeaderResumable: "true"})
	events := strings.SplitAfter(complete.Body, "\n\n")
	id, _, _ := strings.Cut(strings.TrimPrefix(events[4], "id: "), "\n")
	rest := f.routers[1].Do(t, "POST", "/v1/chat/completions", "", map[string]string{
		router.HeaderChatToken:   complete.Header.Get(router.HeaderChatToken),
		router.HeaderLastEventID: id,
	})
	must.Eq(t, 200, rest.Status)
	must.Eq(t, strings.Join(events[5:], ""), rest.Body)
}

func TestStreamContinuesOnAnotherEngine(t *testing.T) {
	f := newFleet(t)
	want := f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody("false"), nil)
	for _, e := range f.engines {
		if e.Stats().Requests > 0 {
			e.SetFaults(engine.Faults{Mode: engine.ModeDie, AfterTokens: 7})
		}
	}
	got := f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
	must.True(t, strings.HasSuffix(got.Body, "data: [DONE]\n\n"), must.Sprint(got.Body))
	must.Eq(t, plainText(t, want.Body), streamText(t, got.Body))
}

func TestRequestIsRetriedOnAnotherEngineWhenBusy(t *testing.T) {
	f := newFleet(t)
	servingEngine := func() (name string) {
		for n, e := range f.engines {
			if e.Stats().Requests > 0 {
				name = n
			}
		}
		return name
	}
	must.Eq(t, 200, f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody("false"), nil).Status)
	f.engines[servingEngine()].SetFaults(engine.Faults{Mode: engine.ModeRefuse})
	for _, stream := range []string{"false", "true"} {
		must.Eq(t, 200, f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody(stream), nil).Status)
	}
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{Mode: engine.ModeRefuse})
	}
	a := f.routers[0].Do(t, "POST", "/v1/chat/completions", chatBody("true"), nil)
	must.Eq(t, 503, a.Status)
	must.StrContains(t, a.Body, `"outcome":"not-run"`)
	must.NotEq(t, "", a.Header.Get("Retry-After"))
}

// plainText returns the text of an answer that is not streamed.
func plainText(t *testing.T, body string) string {
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	must.NoError(t, json.Unmarshal([]byte(body), &answer))
	return answer.Choices[0].Message.Content
}

// streamText returns the text of a streamed answer.
func streamText(t *testing.T, body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, found := strings.CutPrefix(line, "data: {")
		if !found {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal([]byte("{"+data), &chunk))
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String()
}

func TestWriteDeadlineDoesNotOutliveRequest(t *testing.T) {
	cfg := fleettest.Config(1)
	up := fleettest.StartUpstream(t, "s1", fleettest.PlainService, service.New(service.Options{}), cfg, nil)
	limit := 50 * time.Millisecond
	r := fleettest.StartRouter(t, "r1", cfg, []*fleettest.Upstream{up}, nil, func(o *router.Options) { o.WriteTimeout = limit })
	must.Eq(t, 200, r.Do(t, "GET", "/v1/services/share-ledger/holdings", "", nil).Status)
	time.Sleep(2 * limit)
	must.Eq(t, 404, r.Do(t, "POST", "/none", "x", nil).Status)
}

func TestRejectionsCarryCodeAndOutcome(t *testing.T) {
	f := newFleet(t)
	for _, tc := range []struct {
		name, method, path, body, header, value string
		status                                  int
		code                                    string
	}{
		{"unknown key", "POST", "/v1/chat/completions", chatBody("false"), "Authorization", "Bearer none", 401, "unauthorized"},
		{"broken JSON", "POST", "/v1/chat/completions", `{"model":`, "", "", 400, "bad-request"},
		{"bad UTF-8", "POST", "/v1/chat/completions", "{\"model\":\"\xff\"}", "", "", 400, "bad-request"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, "", "", 400, "bad-request"},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"m","messages":[{}]}`, "", "", 404, "unknown-model"},
		{"unknown service", "POST", "/v1/services/none/x", "", "", "", 404, "unknown-service"},
		{"oversized body", "POST", "/v1/services/share-ledger/x", strings.Repeat("x", router.DefaultMaxBodyBytes+1), "", "", 413, "too-large"},
		{"bad timeout", "GET", "/v1/models", "", router.HeaderTimeout, "-1", 400, "bad-request"},
		{"forged ticket", "POST", "/v1/services/share-ledger/x", "", router.HeaderTicket, "forged", 400, "bad-ticket"},
		{"forged token", "POST", "/v1/chat/completions", chatBody("false"), router.HeaderChatToken, "forged", 400, "bad-request"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := f.routers[0].Do(t, tc.method, tc.path, tc.body, headerOf(tc.header, tc.value))
			must.Eq(t, tc.status, a.Status, must.Sprint(a.Body))
			must.StrContains(t, a.Body, `"code":"`+tc.code+`"`)
			must.StrContains(t, a.Body, `"outcome":"not-run"`)
		})
	}
}

func headerOf(name, value string) map[string]string {
	if name == "" {
		return nil
	}
	return map[string]string{name: value}
}
