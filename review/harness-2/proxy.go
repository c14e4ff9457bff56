package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// proxy stands between clients and the callers' address of a router, and can reset connections.
type proxy struct {
	address string // where clients connect
	target  string // the router
	mu      sync.Mutex
	pairs   map[*[2]*net.TCPConn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, pairs: make(map[*[2]*net.TCPConn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) serve(c *net.TCPConn) {
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	pair := &[2]*net.TCPConn{c, d.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[pair] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := io.Copy(pair[i], pair[1-i])
			if err != nil {
				_ = pair[i].SetLinger(0)
				_ = pair[i].Close()
				return
			}
			_ = pair[i].CloseWrite()
		}()
	}
	wg.Wait()
	_ = pair[0].Close()
	_ = pair[1].Close()
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// reset resets a share of the open connections, and returns their number.
func (p *proxy) reset(share float64) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		if rand.Float64() >= share {
			continue
		}
		for _, c := range pair {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
		n++
	}
	return n
}
