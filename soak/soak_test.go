package soak

import (
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/loopback"
	"dandelionrill.example/standin/replica"
	"github.com/shoenig/test/must"
)

// Two soaks on one machine must not share an address: a router of one would take
// the port of a router of the other that is being restarted.
func TestRouterAddressesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 10 {
		reservation, err := loopback.Reserve()
		must.NoError(t, err)
		t.Cleanup(func() { must.NoError(t, reservation.Release()) })
		for _, a := range (&fleet{reservation: reservation}).routerAddresses(12) {
			must.False(t, seen[a])
			seen[a] = true
		}
	}
}

// startEchoServer starts a server that sends back everything it receives, and
// returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func TestProxyModes(t *testing.T) {
	p, err := NewProxy(startEchoServer(t))
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	defer c.Close()
	send := func() error {
		_, err := c.Write([]byte("x"))
		return err
	}
	receive := func(wait time.Duration) error {
		must.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	must.NoError(t, send())
	must.NoError(t, receive(time.Minute))
	for _, mode := range []Mode{ModeSilence, ModeOneWay} {
		p.SetMode(mode)
		must.NoError(t, send())
		must.Error(t, receive(20*time.Millisecond))
		p.SetMode(ModePass) // the withheld bytes arrive
		must.NoError(t, receive(time.Minute))
	}
	p.SetMode(ModeLoseAnswer)
	must.NoError(t, send())
	must.Error(t, receive(time.Minute))
	c2, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	defer c2.Close()
	p.SetMode(ModeReset)
	_, err = c2.Read(make([]byte, 1))
	must.Error(t, err)
}

// A connection that the proxy has accepted and for which it is still dialling the
// target is reset as well.
func TestResetReachesConnectionsBeingDialled(t *testing.T) {
	dialling, release := make(chan struct{}), make(chan struct{})
	target := startEchoServer(t)
	p, err := newProxy(func() (net.Conn, error) {
		close(dialling)
		<-release
		return net.Dial("tcp", target)
	})
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	defer c.Close()
	<-dialling
	p.SetMode(ModeReset)
	p.SetMode(ModePass)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		done <- err
	}()
	must.ErrorIs(t, <-done, syscall.ECONNRESET)
	close(release)
}

// TestCheckOutcomeFindsViolations checks that checkOutcome reports violations and
// accepts permitted outcomes.
func TestCheckOutcomeFindsViolations(t *testing.T) {
	now := time.Now()
	run := func(n int) []replica.Run {
		return slices.Repeat([]replica.Run{{Customers: []string{"c"}, BodyBytes: len(requestBody)}}, n)
	}
	for _, c := range []struct {
		name    string
		outcome outcome
		runs    int
		want    int
	}{
		{"one run", outcome{route: "/once/", status: 200}, 1, 0},
		{"two runs", outcome{route: "/once/", status: 200}, 2, 1},
		{"two runs of an idempotent request", outcome{route: "/safe/", status: 200}, 2, 0},
		{"refused and not run", outcome{route: "/safe/", status: 503}, 0, 0},
		{"refused but run", outcome{route: "/safe/", status: 503}, 1, 1},
		{"502 allows one run", outcome{route: "/once/", status: 502}, 1, 0},
		{"interrupted by a graceful shutdown", outcome{route: "/once/", err: io.EOF, started: now, finished: now.Add(time.Second)}, 1, 1},
		{"request crossed the close of the shutdown", outcome{route: "/once/", err: io.EOF, started: now, finished: now.Add(100 * time.Millisecond)}, 0, 0},
		{"connection closed by the shutdown, request not run", outcome{route: "/once/", err: io.EOF, started: now, finished: now.Add(time.Second)}, 0, 1},
		{"interrupted at another router", outcome{route: "/once/", router: 1, err: io.EOF, started: now, finished: now.Add(time.Second)}, 1, 0},
		{"interrupted after the shutdown", outcome{route: "/once/", err: io.EOF, started: now, finished: now.Add(time.Hour)}, 1, 0},
		{"cut while upstreams were silent", outcome{router: 1, err: io.EOF, started: now, finished: now.Add(time.Second), deadline: time.Minute}, 0, 1},
		{"failed while upstreams were silent", outcome{status: 502, started: now, finished: now.Add(time.Second), deadline: time.Minute}, 0, 1},
		{"refused while upstreams were silent", outcome{status: 503, started: now, finished: now.Add(time.Second), deadline: time.Minute}, 0, 0},
		{"cut at its deadline", outcome{router: 1, err: io.EOF, started: now, finished: now.Add(time.Minute), deadline: time.Minute}, 0, 0},
		{"repeatable request failed beside one spoiling upstream", outcome{route: "/safe/", status: 504, started: now, finished: now.Add(time.Second)}, 0, 1},
		{"resumable stream cut beside one spoiling upstream", outcome{route: "/resume/", status: 200, router: 1, err: io.ErrUnexpectedEOF, started: now, finished: now.Add(time.Second)}, 1, 1},
		{"refused beside one spoiling upstream", outcome{route: "/safe/", status: 503, started: now, finished: now.Add(time.Second)}, 0, 0},
		{"unrepeatable request failed beside one spoiling upstream", outcome{route: "/once/", status: 502, started: now, finished: now.Add(time.Second)}, 1, 0},
		{"cut by a fault after the silences", outcome{router: 1, err: io.EOF, started: now, finished: now.Add(time.Hour), deadline: 2 * time.Hour}, 0, 0},
	} {
		s := &Soak{
			shutdowns: []routerShutdown{{router: 0, period: period{now, now.Add(time.Minute)}}},
			faultFree: []period{{now.Add(-time.Minute), now.Add(time.Minute)}},
			silent:    []period{{now.Add(-time.Second), now.Add(2 * time.Minute)}},
			troubled:  []period{{now.Add(-time.Second), now.Add(2 * time.Minute)}},
		}
		s.checkOutcome(&c.outcome, run(c.runs))
		must.Len(t, c.want, s.violations, must.Sprint(c.name))
	}
}

// A request that ran for no customer, for two, or with a part of its body must be found.
func TestCheckOutcomeFindsWhatWasNotAsked(t *testing.T) {
	for _, run := range []replica.Run{
		{BodyBytes: len(requestBody)}, {Customers: []string{"c", "c"}, BodyBytes: len(requestBody)}, {Customers: []string{"c"}, BodyBytes: len(requestBody) - 1},
	} {
		s := &Soak{}
		s.checkOutcome(&outcome{route: "/safe/", status: 200}, []replica.Run{run})
		must.Len(t, 1, s.violations)
	}
}
