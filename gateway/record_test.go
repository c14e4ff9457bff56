package gateway

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/forward"
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
}

// The parts that requests had in common when an upstream ended must be told apart from logs.
func TestRequestThatBrokeOffNamesItsParts(t *testing.T) {
	req := &request{Meta: Meta{Parts: []PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}}, parts: []uint64{1, 2}}
	req.sends = []sendRecord{{result: resultAnswered}}
	must.Nil(t, requestFields{req: req}.Fields().Get("parts"))
	req.sends = []sendRecord{{result: resultCut}, {result: resultAnswered}}
	must.Eq(t, any("a,b"), requestFields{req: req}.Fields().Get("parts"))
}
