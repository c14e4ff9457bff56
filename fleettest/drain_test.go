package fleettest_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/fleet/wire"
)

// testTimeout ends a test that hangs.
const testTimeout = time.Minute

func newAgentCaller(t *testing.T, u *fleettest.Upstream) func(method string, args, reply any) {
	client, err := link.NewClient(link.ClientOptions{Address: u.Host.Address})
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return func(method string, args, reply any) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		must.NoError(t, client.Call(ctx, agent.RPCName+"."+method, args, reply))
	}
}

// A stopping agent completes a running answer, refuses new requests as not run
// meanwhile, and does not end before the caller has read the complete answer and
// confirmed it.
func TestDrainingAgentServesAnswerUntilConfirmed(t *testing.T) {
	r := newRollingFleet(t)
	u := r.upstreamHosts[0].current
	call := newAgentCaller(t, u)
	submit := wire.SubmitArgs{
		Request: "long", Idempotent: true, Customer: fleettest.Customer, Service: fleettest.ModelService, Method: "POST", Path: "/v1/chat/completions",
		Header: map[string][]string{"Content-Type": {"application/json"}}, Body: []byte(strings.Replace(fmt.Sprintf(chat, 1), "15", "900", 1)),
	}
	var accepted wire.SubmitReply
	call("Submit", &submit, &accepted)
	must.Eq(t, wire.VerdictAccepted, accepted.Verdict)
	u.Stop()
	for !u.Agent.Draining() {
		time.Sleep(time.Millisecond)
	}
	submit.Request = "late"
	var refused wire.SubmitReply
	call("Submit", &submit, &refused)
	must.Eq(t, wire.VerdictRefused, refused.Verdict)
	must.Eq(t, wire.ReasonLeaving, refused.Reason)
	for u.Agent.Load().InFlight > 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // enough for an agent that does not wait for readers to end
	read := wire.ReadArgs{Request: "long", Customer: fleettest.Customer, Holder: accepted.Incarnation, Wait: time.Second}
	for total := int64(-1); total != read.Offset; {
		var reply wire.ReadReply
		call("Read", &read, &reply)
		must.Eq(t, wire.VerdictKnown, reply.Verdict)
		must.False(t, reply.Cut)
		read.Offset += int64(len(reply.Data))
		if reply.Done {
			total = reply.Total
		}
	}
	select {
	case <-u.Done:
		t.Fatal("agent ended before the answer was confirmed")
	default:
	}
	call("Confirm", &wire.RequestArgs{Request: "long", Customer: fleettest.Customer, Holder: accepted.Incarnation}, &wire.RequestReply{})
	<-u.Done
}

func TestDrainingRouterClosesCallerConnections(t *testing.T) {
	r := newRollingFleet(t)
	for _, closes := range []bool{false, true} {
		req, err := http.NewRequest(http.MethodGet, r.routers[0].URL+"/v1/models", nil)
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, closes, resp.Close)
		r.routers[0].StartDrain()
	}
}

// A request is still in progress when the drain timeout of its router expires. The caller
// must be told so before the router ends, instead of losing its connection.
func TestRouterAnswersRequestsAtItsDrainTimeout(t *testing.T) {
	release := make(chan struct{})
	cfg := fleettest.Config(1)
	u := fleettest.StartUpstream(t, "model-1", fleettest.ModelService, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), cfg, nil)
	defer close(release)
	r := fleettest.StartRouter(t, "router-1", cfg, []*fleettest.Upstream{u}, nil, func(o *router.Options) {
		o.DrainDelay, o.DrainTimeout = time.Millisecond, 100*time.Millisecond
	})
	answers := make(chan fleettest.Answer, 1)
	go func() {
		a, _ := r.Try(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, 1), map[string]string{"Content-Type": "application/json"})
		answers <- a
	}()
	for r.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.Stop()
	<-r.Done
	must.Eq(t, 0, r.InProgress())
	must.Eq(t, http.StatusGatewayTimeout, (<-answers).Status)
}
