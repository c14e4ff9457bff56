// Command joined plays case 2: all routers are killed while replicas of two versions are in
// service, and the replica that began some streams goes with them. Clients take these streams up.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/review/lab"
)

const (
	host     = "desk.example"
	key      = "n2ctnfzs989anu6wsjnb"
	service  = "models"
	memoryMb = 284
	routers  = 3
	sessions = 60
	apart    = 30 * time.Millisecond // between the requests of two sessions
	events   = 20                    // of a stream
	deadline = 15 * time.Second
	// fast and slow are the times between two events in the first and the second turn.
	fast = 20 * time.Millisecond
	slow = 300 * time.Millisecond
	// expiry is after how long the entry of a replica is removed that writes nothing.
	expiry = 3600 * time.Millisecond
)

func main() { lab.Main(play) }

// engine is a model replica with a cache of prompt parts.
type engine struct {
	id, version string
	record      *lab.Record

	mu     sync.Mutex
	cached map[string]string // tokens by part
	conns  map[net.Conn]struct{}
	gone   bool
}

func (g *engine) serve(e *lab.Exchange) bool {
	g.mu.Lock()
	if g.gone {
		g.mu.Unlock()
		return false
	}
	g.conns[e.Conn] = struct{}{}
	g.mu.Unlock()
	if e.Request.URL.Path == "/dandelionrill/kv-list" {
		return g.list(e)
	}
	g.mu.Lock()
	for entry := range strings.SplitSeq(e.Request.Header.Get(lab.HeaderPrompt), ",") {
		part, tokens, _ := strings.Cut(entry, ":")
		g.cached[part] = tokens
	}
	g.mu.Unlock()
	last, _ := strconv.Atoi(e.Request.Header.Get("Last-Event-Id"))
	g.record.Logf("replica %s (%s) runs %s from event %d on", g.id, g.version, e.Attempt, last+1)
	pause := slow
	if strings.HasSuffix(e.Request.URL.Path, "/fast") {
		pause = fast
	}
	if _, err := io.WriteString(e.Conn, lab.AnswerHead("200 OK", e.Attempt, lab.HeaderSignature, g.id+"."+e.Attempt,
		"Content-Type", "text/event-stream", "Transfer-Encoding", "chunked")); err != nil {
		return false
	}
	for n := last + 1; n <= events; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, g.version, n)
		if _, err := fmt.Fprintf(e.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(e.Conn, "0\r\n\r\n")
	return err == nil
}

func (g *engine) list(e *lab.Exchange) bool {
	g.mu.Lock()
	var held []string
	for part, tokens := range g.cached {
		held = append(held, fmt.Sprintf(`["",%q,%s,"m"]`, part, tokens))
	}
	g.mu.Unlock()
	body := fmt.Sprintf(`{"epoch":1,"next":%d,"held":[%s]}`, len(held), strings.Join(held, ","))
	g.record.Logf("replica %s lists %d parts", g.id, len(held))
	_, err := fmt.Fprintf(e.Conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// crash ends the replica with all its connections.
func (g *engine) crash(r *lab.Replica) {
	g.mu.Lock()
	g.gone = true
	for c := range g.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	g.mu.Unlock()
	r.Close()
}

// stream is one stream of a session, over all attempts of its client.
type stream struct {
	session  int
	versions []string // of the events received, in order
	done     bool
	attempts int
	refused  int
}

func play(root string, trouble bool, record *lab.Record) (broken bool, err error) {
	fleet, err := lab.NewFleet(lab.FleetOptions{Root: root, Routers: routers, MemoryMb: memoryMb, Record: record, Later: true})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	newEngine := func(id, version string) (*engine, *lab.Replica, error) {
		g := &engine{id: id, version: version, record: record, cached: make(map[string]string), conns: make(map[net.Conn]struct{})}
		r, err := lab.NewReplica(id, service, lab.Zones[0], 64, g.serve)
		return g, r, err
	}
	_, oldReplica, err := newEngine("i-old", "v1")
	if err != nil {
		return false, err
	}
	defer oldReplica.Close()
	newer, newReplica, err := newEngine("i-new", "v2")
	if err != nil {
		return false, err
	}
	defer newReplica.Close()
	entry := func(r *lab.Replica, version string) map[string]any {
		e := r.Entry("ready", 1)
		e["version"] = version
		return e
	}
	fleet.Store.Put("servers", "i-old", entry(oldReplica, "v1"))
	fleet.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			lab.Route{Name: "r-1", Host: host, Prefix: "/ask/", Kind: "streaming", Service: service, TimeoutMs: 15000, TargetMs: 500, Priority: 0, MaxAttempts: 2, Sticky: true, Resumable: true}.Spec(),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"slots": 64, "kvCapacity": 527735, "kvBytes": 163840, "linkMbps": 1100000.0, "modelList": []any{map[string]any{"name": "m"}}}}},
		"limits":  lab.Limits,
		"tenants": []any{lab.Tenant(key)},
	})
	if err := fleet.Start(); err != nil {
		return false, err
	}

	turn := func(path string, streams []*stream) *sync.WaitGroup {
		var group sync.WaitGroup
		for _, s := range streams {
			time.Sleep(apart)
			group.Add(1)
			go func() {
				defer group.Done()
				s.run(path, fleet, record)
			}()
		}
		return &group
	}
	first, second := make([]*stream, sessions), make([]*stream, sessions)
	for i := range sessions {
		first[i], second[i] = &stream{session: i}, &stream{session: i}
	}
	turn("/ask/fast", first).Wait()
	record.Logf("all sessions have had their first turn")
	fleet.Store.Put("servers", "i-new", entry(newReplica, "v2"))
	record.Logf("a release begins: a replica of v2 starts")
	time.Sleep(time.Second)
	group := turn("/ask/slow", second)
	time.Sleep(2 * time.Second)
	if trouble {
		record.Logf("all routers are killed, and the replica of v2 is lost")
		for _, r := range fleet.Routers {
			r.Signal(syscall.SIGKILL)
		}
		newer.crash(newReplica)
		time.AfterFunc(expiry, func() { fleet.Store.Delete("servers", "i-new") })
	}
	group.Wait()

	joined, whole, incomplete := 0, 0, 0
	for _, s := range second {
		switch {
		case !s.done:
			incomplete++
		default:
			whole++
		}
		if i := change(s.versions); i > 0 {
			joined++
			record.Logf("ORDER: the stream of session %d is joined: %d events of %s, then %d of %s; complete: %v; %d attempts",
				s.session, i, s.versions[0], len(s.versions)-i, s.versions[i], s.done, s.attempts)
		}
	}
	record.Logf("second turns: %d whole, %d given up; joined from two versions %d (none is allowed)", whole, incomplete, joined)
	return joined > 0, nil
}

// change returns the index of the first event of another version; 0 if there is none.
func change(versions []string) int {
	for i, v := range versions {
		if v != versions[0] {
			return i
		}
	}
	return 0
}

// run sends the request of a turn, and takes the stream up again as clients may.
func (s *stream) run(path string, fleet *lab.Fleet, record *lab.Record) {
	begun := time.Now()
	for !s.done && time.Since(begun) < deadline {
		s.attempts++
		router := fleet.Routers[(s.session+s.attempts)%len(fleet.Routers)]
		attempt := fmt.Sprintf("s%d%s-%d", s.session, strings.ReplaceAll(path, "/", "-"), s.attempts)
		status, err := s.attempt(attempt, path, router.Frontend, deadline-time.Since(begun))
		record.Logf("client of session %d: %s at %s: status %d, %v; %d events so far", s.session, attempt, router.Name, status, err, len(s.versions))
		if status == http.StatusServiceUnavailable {
			s.refused++
		}
		if !s.done {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

func (s *stream) attempt(attempt, path, address string, left time.Duration) (status int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(left + time.Second))
	r := &lab.Request{
		Method: http.MethodPost, Path: path, Host: host, Attempt: attempt, Key: key, Deadline: left, Body: fmt.Appendf(nil, "question %s %d", path, s.session),
		Header: map[string]string{
			lab.HeaderModel: "m", lab.HeaderTokens: "829,290",
			lab.HeaderPrompt: fmt.Sprintf("aa%02d:119,bb%02d:580,cc%04d:130", s.session%4, s.session%12, s.session),
		},
	}
	if len(s.versions) > 0 {
		r.Header["Last-Event-Id"] = strconv.Itoa(len(s.versions))
	}
	if _, err := io.WriteString(c, r.Head(len(r.Body))+string(r.Body)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		version, number, _ := strings.Cut(text, "-")
		if n, _ := strconv.Atoi(number); n != len(s.versions)+1 {
			return resp.StatusCode, fmt.Errorf("event %s comes after %d", text, len(s.versions))
		}
		s.versions = append(s.versions, version)
	}
	if err := lines.Err(); err != nil {
		return resp.StatusCode, err
	}
	s.done = len(s.versions) == events
	return resp.StatusCode, nil
}
