package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is the fault that a proxy injects into its connections.
type Mode int

// The modes of a proxy.
const (
	ModePass       Mode = iota
	ModeDelay           // each chunk is delayed by proxyDelay
	ModeSilence         // connections stay open, but no data is forwarded
	ModeOneWay          // data is forwarded to the target, but not back
	ModeReset           // open and new connections are reset
	ModeLoseAnswer      // data is forwarded to the target; a connection is reset when the target answers
)

// proxyDelay is the delay in ModeDelay.
const proxyDelay = 150 * time.Millisecond

// Proxy forwards TCP connections from a loopback address to one target and
// injects faults into them according to its mode. All methods may be called
// concurrently.
type Proxy struct {
	listener net.Listener
	dial     func() (net.Conn, error) // connects to the target

	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed and replaced when the mode is set
	conns       map[net.Conn]struct{}
}

// NewProxy starts a proxy to target in ModePass.
func NewProxy(target string) (*Proxy, error) {
	return newProxy(func() (net.Conn, error) { return net.Dial("tcp", target) })
}

func newProxy(dial func() (net.Conn, error)) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, dial: dial, modeChanged: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(ModeReset)
}

// SetMode changes the mode. ModeReset also resets the open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m != ModeReset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // if this fails, the connection is closed without a reset
	}
	_ = c.Close()
}

// state returns the mode and a channel that is closed when the mode is next set.
func (p *Proxy) state() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// track makes SetMode(ModeReset) reset the connection, and resets it if that is the
// mode already.
func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	if p.mode == ModeReset {
		reset(c)
	}
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) serve(in net.Conn) {
	p.track(in) // before the dial, which may outlast a change of the mode
	defer p.untrack(in)
	out, err := p.dial()
	if err != nil {
		reset(in)
		return
	}
	p.track(out)
	defer p.untrack(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(out, in, false)
	}()
	p.copy(in, out, true)
	<-done
}

// copy copies data until one side closes. fromTarget is true for data that the
// target sends.
func (p *Proxy) copy(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if mode, _ := p.state(); n > 0 && fromTarget && mode == ModeLoseAnswer {
			reset(to)
			reset(from)
			return
		}
		if n > 0 {
			p.waitToForward(fromTarget)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			p.waitToForward(fromTarget)
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction stays open
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// waitToForward blocks while the mode withholds data of this direction, and adds
// the delay of ModeDelay.
func (p *Proxy) waitToForward(fromTarget bool) {
	for {
		mode, modeChanged := p.state()
		switch {
		case mode == ModeSilence, mode == ModeOneWay && fromTarget:
			<-modeChanged
			continue
		case mode == ModeDelay:
			time.Sleep(proxyDelay)
		}
		return
	}
}
