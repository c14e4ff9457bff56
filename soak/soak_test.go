package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"dandelionrill.example/standin/replica"
	"github.com/shoenig/test/must"
)

func TestAddressesAreGivenOutOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 10 {
		addresses, err := freeAddresses(12)
		must.NoError(t, err)
		for _, a := range addresses {
			must.False(t, seen[a])
			seen[a] = true
		}
	}
}

// echo returns the address of a server that answers what it is sent.
func echo(t *testing.T) string {
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
	p, err := NewProxy(echo(t))
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	defer c.Close()
	say := func() error {
		_, err := c.Write([]byte("x"))
		return err
	}
	hear := func(wait time.Duration) error {
		must.NoError(t, c.SetReadDeadline(time.Now().Add(wait)))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	must.NoError(t, say())
	must.NoError(t, hear(time.Minute))
	for _, mode := range []Mode{ModeSilence, ModeOneWay} {
		p.Set(mode)
		must.NoError(t, say())
		must.Error(t, hear(20*time.Millisecond))
		p.Set(ModePass) // what was held arrives
		must.NoError(t, hear(time.Minute))
	}
	p.Set(ModeLose)
	must.NoError(t, say())
	must.Error(t, hear(time.Minute))
	c2, err := net.Dial("tcp", p.Address())
	must.NoError(t, err)
	defer c2.Close()
	p.Set(ModeReset)
	_, err = c2.Read(make([]byte, 1))
	must.Error(t, err)
}

// The checks must find what they are for.
func TestChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	run := func(n int) []replica.Run { return make([]replica.Run, n) }
	for _, c := range []struct {
		name    string
		outcome outcome
		runs    int
		want    int
	}{
		{"one run", outcome{kind: "/once/", status: 200}, 1, 0},
		{"two runs", outcome{kind: "/once/", status: 200}, 2, 1},
		{"two runs of what may be repeated", outcome{kind: "/safe/", status: 200}, 2, 0},
		{"true refusal", outcome{kind: "/safe/", status: 503}, 0, 0},
		{"false refusal", outcome{kind: "/safe/", status: 503}, 1, 1},
		{"may have run", outcome{kind: "/once/", status: 502}, 1, 0},
		{"cut by a planned stop", outcome{kind: "/once/", err: io.EOF, begun: now, ended: now.Add(time.Second)}, 1, 1},
		{"not run when the stop closed it", outcome{kind: "/once/", err: io.EOF, begun: now, ended: now.Add(time.Second)}, 0, 0},
		{"cut elsewhere", outcome{kind: "/once/", router: 1, err: io.EOF, begun: now, ended: now.Add(time.Second)}, 1, 0},
		{"cut after the stop", outcome{kind: "/once/", err: io.EOF, begun: now, ended: now.Add(time.Hour)}, 1, 0},
	} {
		s := &Soak{
			stops: []stop{{router: 0, span: span{now, now.Add(time.Minute)}}},
			calm:  []span{{now.Add(-time.Minute), now.Add(time.Minute)}},
		}
		s.checkOutcome(&c.outcome, run(c.runs))
		must.Len(t, c.want, s.violations, must.Sprint(c.name))
	}
}
