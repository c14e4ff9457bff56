package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the bytes that pass it.
type Mode int

// The modes of a proxy.
const (
	ModePass    Mode = iota
	ModeDelay        // bytes are late
	ModeSilence      // connections stay open, and nothing passes
	ModeOneWay       // what is sent arrives, and no answer comes back
	ModeReset        // connections are reset, old and new ones
	ModeLose         // what is sent arrives, and the connection is reset when an answer comes
)

// proxyDelay is how late bytes are in ModeDelay.
const proxyDelay = 150 * time.Millisecond

// Proxy passes connections on loopback to one address and harms them on order.
// All methods may be called concurrently.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	woken chan struct{} // closed at a change of mode
	conns map[net.Conn]struct{}
}

// NewProxy returns a proxy to target that is serving.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, woken: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(ModeReset)
}

// Set changes the mode. Resets end the connections that are open.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.woken)
	p.woken = make(chan struct{})
	if m != ModeReset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on failure the close is an ordinary one
	}
	_ = c.Close()
}

func (p *Proxy) state() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.woken
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

func (p *Proxy) serve(in net.Conn) {
	if mode, _ := p.state(); mode == ModeReset {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(out, in, false)
	}()
	p.copy(in, out, true)
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy passes bytes on until one side ends. back tells the direction of
// answers.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if mode, _ := p.state(); n > 0 && back && mode == ModeLose {
			reset(to)
			reset(from)
			return
		}
		if n > 0 {
			p.hold(back)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == io.EOF:
			p.hold(back)
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction goes on
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// hold waits as the mode asks.
func (p *Proxy) hold(back bool) {
	for {
		mode, woken := p.state()
		switch {
		case mode == ModeSilence, mode == ModeOneWay && back:
			<-woken
			continue
		case mode == ModeDelay:
			time.Sleep(proxyDelay)
		}
		return
	}
}
