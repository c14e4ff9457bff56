package router

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/link"
)

func newTestStream(t *testing.T, maxAnswerBytes int64) (*stream, *httptest.ResponseRecorder) {
	signer, err := ticket.NewSigner([]byte(strings.Repeat("k", 32)))
	must.NoError(t, err)
	pool := link.NewPool(link.ClientOptions{})
	t.Cleanup(pool.Close)
	r, err := New(Options{Signer: signer, Board: board.New(), Pool: pool, MaxAnswerBytes: maxAnswerBytes})
	must.NoError(t, err)
	w := httptest.NewRecorder()
	return r.newStream(w, "p"), w
}

// Guards against an engine that sends an event without end: the router kept all of its bytes
// until the time between two events was over.
func TestEventWithoutEndIsGivenUp(t *testing.T) {
	s, w := newTestStream(t, 1000)
	must.NoError(t, s.forward([]byte("data: whole\n\n"+strings.Repeat("~", 600))))
	must.NoError(t, s.forward([]byte(strings.Repeat("~", 400))))
	must.ErrorIs(t, s.forward([]byte("~")), errEndlessEvent)
	must.Eq(t, "id: p.13\ndata: whole\n\n", w.Body.String())
}

// Guards against an end of an event that is missed because it arrives in parts.
func TestEventsAreFoundHoweverTheyArrive(t *testing.T) {
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		text := strings.Repeat("data: one"+blank, 3) + "data: tail"
		for size := 1; size <= len(text); size++ {
			s, w := newTestStream(t, 1000)
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				must.NoError(t, s.forward([]byte(rest[:min(size, len(rest))])))
			}
			want := ""
			for i := 1; i <= 3; i++ {
				want += fmt.Sprintf("id: p.%d\ndata: one\n\n", i*len("data: one"+blank))
			}
			must.Eq(t, want, w.Body.String(), must.Sprint(size))
			must.Eq(t, "data: tail", string(s.pending))
		}
	}
}
