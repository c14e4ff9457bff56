package router_test

import (
	"bufio"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/fleettest"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/router"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
)

// faultyAgent accepts every request and returns a complete answer altered by
// corrupt.
type faultyAgent struct {
	corrupt func(*wire.ReadReply)
}

func (a *faultyAgent) Submit(_ *wire.SubmitArgs, reply *wire.SubmitReply) error {
	reply.Verdict = wire.VerdictAccepted
	reply.Incarnation = "i"
	return nil
}

func (a *faultyAgent) Read(args *wire.ReadArgs, reply *wire.ReadReply) error {
	text := []byte("whole answer")
	*reply = wire.ReadReply{
		Verdict: wire.VerdictKnown, Request: args.Request, Offset: args.Offset,
		Started: true, Status: 200, Data: text[args.Offset:],
		Done: true, Total: int64(len(text)), Digest: sha256.Sum256(text),
	}
	a.corrupt(reply)
	return nil
}

func (a *faultyAgent) Cancel(*wire.RequestArgs, *wire.RequestReply) error  { return nil }
func (a *faultyAgent) Confirm(*wire.RequestArgs, *wire.RequestReply) error { return nil }

func TestInvalidAnswersAreNotDelivered(t *testing.T) {
	for _, tc := range []struct {
		name    string
		corrupt func(*wire.ReadReply)
		status  int
	}{
		{"unaltered", func(*wire.ReadReply) {}, 200},
		{"status 000", func(r *wire.ReadReply) { r.Status = 0 }, 502},
		{"status 099", func(r *wire.ReadReply) { r.Status = 99 }, 502},
		{"status 101", func(r *wire.ReadReply) { r.Status = 101 }, 502},
		{"status 1000", func(r *wire.ReadReply) { r.Status = 1000 }, 502},
		{"line break in a value", func(r *wire.ReadReply) { r.Header = map[string][]string{"X": {"a\r\nY: b"}} }, 502},
		{"control byte in a value", func(r *wire.ReadReply) { r.Header = map[string][]string{"X": {"1", "a\x00"}} }, 502},
		{"blank in a name", func(r *wire.ReadReply) { r.Header = map[string][]string{"X Y": {"a"}} }, 502},
		{"unusual value", func(r *wire.ReadReply) { r.Header = map[string][]string{"X": {"a\tb \x80", ""}} }, 200},
		{"other digest", func(r *wire.ReadReply) { r.Digest[0]++ }, 502},
		{"other bytes", func(r *wire.ReadReply) {
			if len(r.Data) > 0 {
				r.Data[0] = 'W'
			}
		}, 502},
		{"too long", func(r *wire.ReadReply) { r.Total++ }, 502},
		{"another's request", func(r *wire.ReadReply) { r.Request = "other" }, 502},
		{"another offset", func(r *wire.ReadReply) { r.Offset++ }, 502},
		{"cut", func(r *wire.ReadReply) { r.Done, r.Cut = false, true }, 502},
		{"another incarnation", func(r *wire.ReadReply) { r.Verdict = wire.VerdictWrongIncarnation }, 502},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, err := link.NewServer(link.ServerOptions{}, "Agent", &faultyAgent{corrupt: tc.corrupt})
			must.NoError(t, err)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			go func() { _ = server.Serve(listener) }()
			up := &fleettest.Upstream{Host: store.Host{
				Name: "w", Role: store.RoleAgent, Service: fleettest.PlainService,
				Address: listener.Addr().String(), State: store.HostLive,
			}}
			r := fleettest.StartRouter(t, "r", fleettest.Config(1), []*fleettest.Upstream{up}, nil, nil)
			a := r.Do(t, "GET", "/v1/services/share-ledger/holdings", "", nil)
			must.Eq(t, tc.status, a.Status, must.Sprint(a.Body))
			if tc.status == 200 {
				must.Eq(t, "whole answer", a.Body)
				return
			}
			must.StrContains(t, a.Body, `"outcome":"incomplete"`)
		})
	}
}

// serveThenDrop answers the first request of each connection and reads the
// second one without answering. An upstream does the same when its idle
// timeout closes a connection on which a request arrives.
func serveThenDrop(listener net.Listener, received *atomic.Int64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for answered := false; ; answered = true {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				received.Add(1)
				if answered {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

func TestNonIdempotentCallsDoNotReuseConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	var received atomic.Int64
	go serveThenDrop(listener, &received)
	base, err := url.Parse("http://" + listener.Addr().String())
	must.NoError(t, err)
	cfg := fleettest.Config(1)
	up := fleettest.StartAgent(t, "s", fleettest.PlainService, base, cfg, nil)
	r := fleettest.StartRouter(t, "r", cfg, []*fleettest.Upstream{up}, nil, nil)
	for range 2 {
		a := r.Do(t, "POST", "/v1/services/share-ledger/transfers", "{}", map[string]string{"X-Idempotency-Key": "k"})
		must.Eq(t, 200, a.Status, must.Sprint(a.Body))
	}
	must.Eq(t, 2, received.Load())
}

// endlessAgent accepts every request and returns an answer without end.
type endlessAgent struct{ faultyAgent }

func (a *endlessAgent) Read(args *wire.ReadArgs, reply *wire.ReadReply) error {
	*reply = wire.ReadReply{
		Verdict: wire.VerdictKnown, Request: args.Request, Offset: args.Offset,
		Started: true, Status: 200, Data: make([]byte, 1<<10),
	}
	return nil
}

// Guards against an answer without end that fills the memory of the router until the
// deadline of its request.
func TestEndlessAnswerIsGivenUp(t *testing.T) {
	server, err := link.NewServer(link.ServerOptions{}, "Agent", &endlessAgent{})
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	up := &fleettest.Upstream{Host: store.Host{
		Name: "w", Role: store.RoleAgent, Service: fleettest.PlainService,
		Address: listener.Addr().String(), State: store.HostLive,
	}}
	r := fleettest.StartRouter(t, "r", fleettest.Config(1), []*fleettest.Upstream{up}, nil, func(o *router.Options) { o.MaxAnswerBytes = 100 << 10 })
	a := r.Do(t, "GET", "/v1/services/share-ledger/holdings", "", map[string]string{router.HeaderTimeout: "5"})
	must.Eq(t, http.StatusBadGateway, a.Status, must.Sprint(a.Body))
	must.StrContains(t, a.Body, `"outcome":"incomplete"`)
}
