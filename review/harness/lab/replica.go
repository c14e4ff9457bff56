package lab

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Exchange is a request at a replica, with its connection.
type Exchange struct {
	Conn    net.Conn
	Request *http.Request
	Body    []byte
	Attempt string
	Number  int // of the request on its connection, from 1 on
}

// Replica is a stand-in for a replica. It answers 421 to requests that are meant for another
// one, and lets Serve answer all others.
type Replica struct {
	ID, Service, Zone, Address string
	Slots                      int
	Born                       int64

	serve    func(*Exchange) (keep bool)
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewReplica starts a replica on a free port of 127.0.0.1.
func NewReplica(id, service, zone string, slots int, serve func(*Exchange) (keep bool)) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: id, Service: service, Zone: zone, Slots: slots, Address: l.Addr().String(), Born: time.Now().UnixMilli(),
		serve: serve, listener: l, conns: make(map[net.Conn]struct{}),
	}
	go r.accept()
	return r, nil
}

// Entry returns the replica's entry in the store.
func (r *Replica) Entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state,
		"coldRemainingMs": 0, "sequence": sequence, "born": r.Born,
	}
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.handle(c)
	}
}

func (r *Replica) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e := &Exchange{Conn: c, Request: req, Body: body, Attempt: req.Header.Get(HeaderAttempt), Number: number}
		if expected := req.Header.Get(HeaderExpected); expected != "" && expected != r.ID {
			_, _ = io.WriteString(c, AnswerHead("421 Misdirected Request", e.Attempt, HeaderReplica, r.ID, "Content-Length", "0"))
			continue
		}
		if !r.serve(e) {
			return
		}
	}
}

// Close ends the replica with all its connections.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}
