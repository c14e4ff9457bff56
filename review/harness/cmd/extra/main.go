// Command extra plays case 4: a replica that is full at times sends some of its refusals a second
// time, late.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/review/lab"
)

const (
	host     = "desk.example"
	key      = "n2ctnfzs989anu6wsjnb"
	service  = "buchung"
	memoryMb = 284
	routers  = 5
	replicas = 1
	attempts = 3 // maxAttempts of the route
	clients  = 2 // at each router
	slots    = 6
	waiting  = 2 // requests that a replica queues
	work     = 60 * time.Millisecond
	// garbled is the greatest share of a replica's answers that are sent twice. They are chosen
	// among its refusals.
	garbled   = 0.03
	playTime  = 40 * time.Second
	contracts = `["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","places","pressure","platform"]`
)

func main() { lab.Main(play) }

// server is a replica with slots and a short queue.
type server struct {
	id       string
	garbles  bool
	slots    chan struct{}
	held     atomic.Int64
	answers  atomic.Int64
	extras   atomic.Int64
	refusals atomic.Int64
	chosen   atomic.Int64 // answers to be sent twice

	mu   sync.Mutex
	late map[string]string // by the address of the connection's other end
}

func play(root string, trouble bool, record *lab.Record) (broken bool, err error) {
	fleet, err := lab.NewFleet(lab.FleetOptions{Root: root, Routers: routers, MemoryMb: memoryMb, Record: record, Contracts: contracts})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	var ran sync.Map // attempt -> number of runs
	var servers []*server
	for i, zone := range lab.Zones[:replicas] {
		s := &server{id: fmt.Sprintf("i-00%d", i), garbles: trouble, slots: make(chan struct{}, slots), late: make(map[string]string)}
		servers = append(servers, s)
		r, err := lab.NewReplica(s.id, service, zone, slots, func(e *lab.Exchange) bool { return s.serve(e, &ran, record) })
		if err != nil {
			return false, err
		}
		defer r.Close()
		fleet.Store.Put("servers", s.id, r.Entry("ready", 1))
	}
	fleet.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			lab.Route{Name: "r-1", Host: host, Prefix: "/book/", Kind: "non_idempotent", Service: service, TimeoutMs: 4000, TargetMs: 300, Priority: 2, MaxAttempts: attempts}.Spec(),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 190, "protocol": "h1", "tls": false}},
		"limits":   lab.Limits,
		"tenants":  []any{lab.Tenant(key)},
	})
	if err := fleet.Start(); err != nil {
		return false, err
	}
	var refused sync.Map // attempts that were answered 503
	var sent, ok, refusals, other atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(playTime)
	for i, r := range fleet.Routers {
		for j := range clients {
			group.Add(1)
			go func() {
				defer group.Done()
				client(fmt.Sprintf("c%d-%d", i, j), r.Frontend, end, record, &refused, &sent, &ok, &refusals, &other)
			}()
		}
	}
	group.Wait()
	time.Sleep(time.Second)
	bad := 0
	refused.Range(func(attempt, _ any) bool {
		if runs, known := ran.Load(attempt); known {
			bad++
			record.Logf("REFUSED: %v was answered 503 and ran %v times", attempt, runs)
		}
		return true
	})
	twice := 0
	ran.Range(func(attempt, runs any) bool {
		if runs.(int) > 1 {
			twice++
			record.Logf("TWICE: %v ran %v times", attempt, runs)
		}
		return true
	})
	for _, s := range servers {
		record.Logf("replica %s: %d answers, of them %d refusals, %d sent a second time", s.id, s.answers.Load(), s.refusals.Load(), s.extras.Load())
	}
	record.Logf("sent %d, answered 200 %d, answered 503 %d, other ends %d, restarts %d", sent.Load(), ok.Load(), refusals.Load(), other.Load(), fleet.Restarts.Load())
	record.Logf("answered 503 although they ran: %d; ran more than once: %d (none is allowed)", bad, twice)
	return bad+twice > 0, nil
}

func (s *server) serve(e *lab.Exchange, ran *sync.Map, record *lab.Record) bool {
	peer := e.Conn.RemoteAddr().String()
	s.mu.Lock()
	extra := s.late[peer]
	delete(s.late, peer)
	s.mu.Unlock()
	if extra != "" { // it comes where the next answer is expected
		s.extras.Add(1)
		record.Logf("replica %s sends a second copy of an earlier answer before it answers %s", s.id, e.Attempt)
		if _, err := io.WriteString(e.Conn, extra); err != nil {
			return false
		}
	}
	var text string
	refused := false
	if s.held.Add(1) > slots+waiting {
		s.held.Add(-1)
		s.refusals.Add(1)
		refused = true
		text = lab.AnswerHead("503 Service Unavailable", e.Attempt, lab.HeaderNotRun, "1", "Content-Length", "0")
		record.Logf("replica %s refuses %s", s.id, e.Attempt)
	} else {
		s.slots <- struct{}{}
		runs := 1
		if v, known := ran.Load(e.Attempt); known {
			runs = v.(int) + 1
		}
		ran.Store(e.Attempt, runs)
		record.Logf("replica %s runs %s", s.id, e.Attempt)
		time.Sleep(work/2 + rand.N(work))
		<-s.slots
		s.held.Add(-1)
		text = lab.Success(e.Attempt, s.id, "ok")
	}
	s.answers.Add(1)
	if s.garbles && refused && float64(s.chosen.Load()+1) <= garbled*float64(s.answers.Load()) {
		s.chosen.Add(1)
		s.mu.Lock()
		s.late[peer] = text
		s.mu.Unlock()
	}
	_, err := io.WriteString(e.Conn, text)
	return err == nil
}

func client(name, address string, end time.Time, record *lab.Record, refused *sync.Map, sent, ok, refusals, other *atomic.Int64) {
	var conn *lab.Client
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(rand.N(40 * time.Millisecond))
		if conn == nil {
			var err error
			if conn, err = lab.Dial(address); err != nil {
				time.Sleep(time.Second)
				continue
			}
		}
		r := &lab.Request{Method: http.MethodPost, Path: "/book/x", Host: host, Attempt: fmt.Sprintf("%s-%d", name, n), Key: key, Deadline: 4 * time.Second, Body: []byte("a room")}
		sent.Add(1)
		a := conn.Do(r)
		switch {
		case a.Err != nil:
			other.Add(1)
			record.Logf("client: %s: %v", r.Attempt, a.Err)
		case a.Status == http.StatusOK:
			ok.Add(1)
		case a.Status == http.StatusServiceUnavailable:
			refusals.Add(1)
			refused.Store(r.Attempt, true)
			record.Logf("client: %s is answered 503 %q", r.Attempt, a.Body)
			if wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
				time.Sleep(time.Duration(wait * float64(time.Second)))
			}
		default:
			other.Add(1)
			record.Logf("client: %s is answered %d", r.Attempt, a.Status)
		}
		if a.Err != nil || a.Header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
	}
}
