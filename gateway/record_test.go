package gateway

import (
	"net/http"
	"testing"
	"time"

	"dandelionrill.example/fleet/decide/cost"
	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/routing"
	"github.com/shoenig/test/must"
)

func TestDescribeSends(t *testing.T) {
	sends := []sendRecord{
		{upstream: "i-1@a", load: 3, cachedParts: 1, fetchSource: "i-2", result: resultRefused, took: 4 * time.Millisecond},
		{upstream: "i-2@b", version: "v1.1", load: 1, cachedParts: 2, result: resultAnswered, took: 30 * time.Millisecond},
	}
	must.Eq(t, "i-1@a load=3 held=1/2 fetch=i-2 refused 4ms; i-2@b version=v1.1 load=1 held=2/2 answered 30ms", describeSends(sends, 2))
	framed := []sendRecord{{upstream: "i-4@a", load: 1, framing: forward.FramingClose, partialEvent: 23, result: resultCut, took: time.Millisecond}}
	must.Eq(t, "i-4@a load=1 framing=close partial_event=23 cut 1ms", describeSends(framed, 0))
	denied := requestFields{req: &request{retryDenied: true}}.Fields()
	must.Eq(t, any("no budget"), denied.Get("retry"))
	plain := []sendRecord{{upstream: "i-3@a", load: 2, failureExcess: 0.314, result: resultAnswered, took: time.Millisecond}}
	must.Eq(t, "i-3@a load=2 failing=0.31 answered 1ms", describeSends(plain, 0))
	predicted := []sendRecord{{upstream: "i-5@a", result: resultAnswered, predicted: &sendCost{prediction: cost.Prediction{FirstMs: 12.4, EndMs: 180}, answer: cost.Answer{Slowness: 2.5}, speed: 1}}}
	must.Eq(t, "i-5@a load=0 predicted=12/180ms slow=2.50 answered 0ms", describeSends(predicted, 0))
}

// Whether a request was late in a stop by its own body must be told from logs.
func TestRequestNamesItsTimesInAStop(t *testing.T) {
	g := New(Options{})
	req := &request{body: []byte("x"), arrived: time.Now().Add(-2 * time.Second)}
	req.recordBodyRead()
	g.recordDrainElapsed(req)
	fields := requestFields{req: req}.Fields()
	must.NotNil(t, fields.Get("body_ms"))
	must.Nil(t, fields.Get("drain_ms"))
	g.draining.Store(&drainState{started: time.Now().Add(-time.Second)})
	g.recordDrainElapsed(req)
	must.NotNil(t, requestFields{req: req}.Fields().Get("drain_ms"))
	without := &request{arrived: req.arrived}
	without.recordBodyRead()
	must.Nil(t, requestFields{req: without}.Fields().Get("body_ms"))
}

// The parts that requests had in common when an upstream ended must be told apart from logs.
func TestRequestThatBrokeOffNamesItsParts(t *testing.T) {
	req := &request{Meta: Meta{Parts: []PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}}, parts: []uint64{1, 2}, http: &http.Request{}}
	req.sends = []sendRecord{{result: resultAnswered}}
	must.Nil(t, requestFields{req: req}.Fields().Get("parts"))
	req.sends = []sendRecord{{result: resultCut}, {result: resultAnswered}}
	must.Eq(t, any("a,b"), requestFields{req: req}.Fields().Get("parts"))
}

// Whether the same request broke off at several upstreams must be told from logs.
func TestRequestThatBrokeOffNamesItsFingerprint(t *testing.T) {
	fingerprint := func(customer, method, host, target, body, result string) any {
		req := &request{http: &http.Request{Method: method, Host: host, RequestURI: target}, body: []byte(body), customer: &routing.Customer{Name: customer}}
		req.sends = []sendRecord{{result: result}}
		return requestFields{req: req}.Fields().Get("fingerprint")
	}
	cut := fingerprint("c", "POST", "h", "/a/b", "x", resultCut)
	must.NotNil(t, cut)
	must.Eq(t, cut, fingerprint("c", "POST", "h", "/a/b", "x", forward.MayHaveRun.String()))
	must.Nil(t, fingerprint("c", "POST", "h", "/a/b", "x", resultAnswered))
	for _, other := range [][5]string{{"d", "POST", "h", "/a/b", "x"}, {"c", "PUT", "h", "/a/b", "x"}, {"c", "POST", "i", "/a/b", "x"}, {"c", "POST", "h", "/a/b?y", "x"}, {"c", "POST", "h", "/a/b", ""}, {"", "POST", "h", "/a/bx", ""}} {
		must.NotEq(t, cut, fingerprint(other[0], other[1], other[2], other[3], other[4], resultCut), must.Sprint(other))
	}
}
