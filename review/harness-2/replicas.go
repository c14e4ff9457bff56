package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const headerLastEvent = "Last-Event-Id"

// text returns a text that belongs to one attempt.
func text(attempt string) string {
	sum := sha256.Sum256([]byte(attempt))
	return hex.EncodeToString(sum[:8])
}

// isMeant sets the headers that all answers have, and answers 421 if the request is meant for
// another replica.
func isMeant(w http.ResponseWriter, r *http.Request, id string) bool {
	w.Header().Set(headerReplica, id)
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	if expected := r.Header.Get(headerExpected); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// startLedger starts a replica of a plain service.
func (r *rig) startLedger(id, service, zone string, work time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, req *http.Request) {
		if !isMeant(w, req, id) {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		attempt := req.Header.Get(headerAttempt)
		r.logf("run     %s at %s", attempt, id)
		time.Sleep(work)
		w.Header().Set(headerSignature, id+"."+attempt)
		_, _ = io.WriteString(w, text(attempt))
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(handler)}).Serve(l) }()
	go r.keepEntry(entry{id, service, l.Addr().String(), zone, "v1", 6}, nil)
	return nil
}

// model is a model replica whose streams can be resumed. Each event names the version of the
// software that wrote it.
type model struct {
	rig         *rig
	id, version string
	events      int
	first       time.Duration // until the first event
	interval    time.Duration // between two events

	mu   sync.Mutex
	held map[string]int // cached prompt parts and their tokens
}

// startModel starts a model replica. The function that it returns makes it leave: its entry is
// removed, and it ends after a time.
func (r *rig) startModel(m *model, service, zone string) (leave func(serving time.Duration), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.rig, m.held = r, make(map[string]int)
	server, stop := &http.Server{Handler: m}, make(chan struct{})
	go func() { _ = server.Serve(l) }()
	go r.keepEntry(entry{m.id, service, l.Addr().String(), zone, m.version, 64}, stop)
	return func(serving time.Duration) {
		close(stop)
		_ = r.remove("servers", m.id)
		time.AfterFunc(serving, func() { _ = server.Close() })
	}, nil
}

// ServeHTTP implements http.Handler.
func (m *model) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == cacheListPath {
		m.listCache(w)
		return
	}
	if !isMeant(w, req, m.id) {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	attempt := req.Header.Get(headerAttempt)
	last, _ := strconv.Atoi(req.Header.Get(headerLastEvent)) // none means 0
	m.rig.logf("run     %s at %s, version %s, after event %d", attempt, m.id, m.version, last)
	w.Header().Set(headerSignature, m.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(m.first)
	m.cache(req.Header.Get(headerPrompt))
	for n := last + 1; n <= m.events; n++ {
		if n > last+1 {
			select {
			case <-req.Context().Done():
				return
			case <-time.After(m.interval):
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s wrote event %d of %s\n\n", n, m.version, n, text(req.URL.Path))
		_ = http.NewResponseController(w).Flush()
	}
}

// cache adds the parts of a prompt to the cache.
func (m *model) cache(prompt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		m.held[id], _ = strconv.Atoi(tokens)
	}
}

func (m *model) listCache(w http.ResponseWriter) {
	held := []any{}
	m.mu.Lock()
	for id, tokens := range m.held {
		held = append(held, []any{"", id, tokens, "m"})
	}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": len(held), "held": held})
}

// unframed is a model replica whose answers have no length: each ends with its connection.
type unframed struct {
	rig             *rig
	id              string
	events          int
	first, interval time.Duration
	listener        net.Listener
	stop            chan struct{} // closed when it has crashed

	mu      sync.Mutex
	conns   map[*net.TCPConn]struct{}
	running int
}

// startUnframed starts a model replica whose answers have no length.
func (r *rig) startUnframed(u *unframed, service, zone string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.rig, u.listener, u.stop, u.conns = r, l, make(chan struct{}), make(map[*net.TCPConn]struct{})
	go u.accept()
	go r.keepEntry(entry{u.id, service, l.Addr().String(), zone, "v1", 64}, u.stop)
	return nil
}

func (u *unframed) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		conn := c.(*net.TCPConn)
		u.mu.Lock()
		u.conns[conn] = struct{}{}
		u.mu.Unlock()
		go func() {
			u.serve(conn)
			u.mu.Lock()
			defer u.mu.Unlock()
			delete(u.conns, conn)
			_ = conn.Close()
		}()
	}
}

// serve answers one request.
func (u *unframed) serve(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if req.URL.Path == cacheListPath {
		const list = `{"epoch":1,"next":0,"held":[]}`
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(list), list)
		return
	}
	attempt := req.Header.Get(headerAttempt)
	head := fmt.Sprintf("%s: %s\r\n%s: %s\r\nConnection: close\r\n", headerAttempt, attempt, headerReplica, u.id)
	if expected := req.Header.Get(headerExpected); expected != "" && expected != u.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return
	}
	u.count(1)
	defer u.count(-1)
	u.rig.logf("run     %s at %s", attempt, u.id)
	time.Sleep(u.first)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: %s.%s\r\nContent-Type: text/event-stream\r\n\r\n", head, headerSignature, u.id, attempt)
	for n := 1; n <= u.events; n++ {
		if _, err := io.WriteString(c, plainEvent(attempt, n)); err != nil {
			return
		}
		if n < u.events {
			time.Sleep(u.interval)
		}
	}
}

func (u *unframed) count(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += n
}

// plainEvent returns an event of the stream of an attempt.
func plainEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, text(attempt), n)
}

// crash ends the replica: its connections are reset and new ones refused. Its entry goes once its
// lease has run out.
func (u *unframed) crash() {
	close(u.stop)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rig.logf("crash   %s with %d requests in progress", u.id, u.running)
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}
