package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// contact is the least time after which the users' rules bind routers that are in touch.
const contact = 3 * time.Second

// crashingPool is a service whose upstreams end with all their connections when they begin
// to answer a prompt with the shared part "bad". Another one takes the place of each.
type crashingPool struct {
	t       *testing.T
	mu      sync.Mutex
	crashes int
	arrived int // requests with that part
	alive   []*replica
	changed func([]*replica)
}

func newCrashingPool(t *testing.T, size int) *crashingPool {
	p := &crashingPool{t: t}
	for range size {
		p.add()
	}
	return p
}

// add starts an upstream. p.mu must be held, or the pool not be in use.
func (p *crashingPool) add() {
	var r *replica
	r = newReplica(p.t, fmt.Sprint("i-", p.crashes, "-", len(p.alive)), func(w http.ResponseWriter, req *http.Request) {
		if !strings.Contains(req.Header.Get(parts), ",bad:") {
			w.Header().Set(signature, "sig")
			w.Header().Set("Content-Type", "text/event-stream")
			events(w, 1, 3)
			return
		}
		p.crash(r, w)
	})
	p.alive = append(p.alive, r)
}

// crash ends an upstream and all its connections.
func (p *crashingPool) crash(r *replica, w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived++
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	for i, other := range p.alive {
		if other == r {
			_ = r.server.Listener.Close()
			r.server.CloseClientConnections()
			p.alive = append(p.alive[:i:i], p.alive[i+1:]...)
			p.crashes++
			p.add()
			p.changed(p.alive)
		}
	}
}

func (p *crashingPool) counts() (crashes, arrived int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes, p.arrived
}

// Guards against upstreams that end one after the other: a part of a prompt that crashes
// each upstream that answers it was sent to the next one, by retries and by new requests.
func TestPartThatCrashesUpstreamsIsKeptFromThem(t *testing.T) {
	p := newCrashingPool(t, 6)
	f := newFixture(t, p.alive...)
	p.changed = func(alive []*replica) { f.setUpstreams(alive...) }
	n := 0
	send := func(prompt string) int {
		n++
		r := f.newRequest(t, http.MethodPost, "/prompt/x", "body")
		r.Header.Set(attemptID, fmt.Sprint("attempt-", n))
		r.Header.Set(parts, fmt.Sprintf(prompt, n))
		response, err := f.server.Client().Do(r)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	sound := func() int { return send("first:10,subject:10,own%d:5") }
	must.Eq(t, http.StatusOK, sound())
	started := time.Now()
	for crashes := 0; crashes < 5 && time.Since(started) < contact; crashes, _ = p.counts() {
		send("first:10,bad:10,own%d:5")
		sound()
	}
	time.Sleep(contact - time.Since(started))
	_, before := p.counts()
	served := 0
	for range 30 {
		send("first:10,bad:10,own%d:5")
		if sound() == http.StatusOK {
			served++
		}
	}
	_, after := p.counts()
	must.LessEq(t, 3, after-before)
	must.GreaterEq(t, 29, served)
}
