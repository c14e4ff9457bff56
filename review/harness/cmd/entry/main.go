// Command entry plays case 1: another writer puts an entry into the list of replicas that
// cannot be used.
package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/review/lab"
)

const (
	host    = "desk.example"
	key     = "n2ctnfzs989anu6wsjnb"
	service = "entries"
	// memoryMb is that of the smaller edge machines of cbct-entries-grown.
	memoryMb = 184
	// valueBytes is the most that an object of the store holds.
	valueBytes = 1 << 20
	routers    = 3
	perRouter  = 6 // clients
	work       = 15 * time.Millisecond
	streamTime = 4 * time.Second
)

func main() { lab.Main(play) }

// counts are the requests by their ends.
type counts struct {
	sent, ok, refused, failed, noConnection, cutAfterPass atomic.Int64
}

func play(root string, trouble bool, record *lab.Record) (broken bool, err error) {
	fleet, err := lab.NewFleet(lab.FleetOptions{Root: root, Routers: routers, MemoryMb: memoryMb, Record: record})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	store := fleet.Store
	var passed sync.Map // attempts that have reached a replica
	for i, zone := range lab.Zones {
		id := fmt.Sprintf("i-00%d", i)
		r, err := lab.NewReplica(id, service, zone, 64, func(e *lab.Exchange) bool {
			passed.Store(e.Attempt, true)
			record.Logf("replica %s runs %s", id, e.Attempt)
			duration := work
			if strings.HasPrefix(e.Request.URL.Path, "/long/") {
				duration = streamTime
			}
			time.Sleep(duration)
			_, err := io.WriteString(e.Conn, lab.Success(e.Attempt, id, answer(e.Attempt)))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		defer r.Close()
		store.Put("servers", id, r.Entry("ready", 1))
	}
	store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			lab.Route{Name: "r-1", Host: host, Prefix: "/short/", Kind: "idempotent", Service: service, TimeoutMs: 1500, TargetMs: 120, Priority: 2, MaxAttempts: 2}.Spec(),
			lab.Route{Name: "r-2", Host: host, Prefix: "/long/", Kind: "non_idempotent", Service: service, TimeoutMs: 15000, TargetMs: 5000, Priority: 2, MaxAttempts: 1}.Spec(),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false}},
		"limits":   lab.Limits,
		"tenants":  []any{lab.Tenant(key)},
	})

	if err := fleet.Start(); err != nil {
		return false, err
	}

	var c counts
	var clients sync.WaitGroup
	end := make(chan struct{})
	for i, r := range fleet.Routers {
		for n := range perRouter {
			clients.Add(1)
			go func() {
				defer clients.Done()
				runClient(fmt.Sprintf("c%d-%d", i, n), r.Frontend, n%2 == 0, record, &c, &passed, end)
			}()
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		entry := entry()
		revision := store.PutRaw("servers", "i-stranger", entry)
		record.Logf("another writer puts an entry of %d bytes at revision %d", len(entry), revision)
	}
	time.Sleep(25 * time.Second)
	close(end)
	clients.Wait()
	record.Logf("sent %d, answered 200 %d, answered 503 %d, other answers %d, no connection %d, restarts %d",
		c.sent.Load(), c.ok.Load(), c.refused.Load(), c.failed.Load(), c.noConnection.Load(), fleet.Restarts.Load())
	cut := c.cutAfterPass.Load()
	record.Logf("kept connections closed without an answer after their request was passed on: %d (at most 3 are allowed)", cut)
	return cut > 3, nil
}

// entry returns an entry that names no replica to use: valid JSON, of the size that the store
// allows, with a field that no reader knows and that is deeply nested.
func entry() json.RawMessage {
	const head, tail = `{"service":"entries","note":`, `}`
	depth := (valueBytes - len(head) - len(tail)) / 2
	return json.RawMessage(head + strings.Repeat("[", depth) + strings.Repeat("]", depth) + tail)
}

func answer(attempt string) string {
	sum := sha256.Sum256([]byte(attempt))
	return strings.Repeat(hex.EncodeToString(sum[:]), 12)
}

// runClient sends one request after another on a kept connection, and waits a second before it
// opens a new one.
func runClient(name, address string, long bool, record *lab.Record, c *counts, passed *sync.Map, end <-chan struct{}) {
	var conn *lab.Client
	used := 0
	for n := 0; ; n++ {
		select {
		case <-end:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = lab.Dial(address); err != nil {
				c.noConnection.Add(1)
				time.Sleep(time.Second)
				continue
			}
			used = 0
		}
		r := &lab.Request{Method: http.MethodGet, Path: "/short/x", Host: host, Attempt: fmt.Sprintf("%s-%d", name, n), Key: key, Deadline: 1500 * time.Millisecond}
		if long && used > 0 {
			r.Method, r.Path, r.Deadline = http.MethodPost, "/long/x", 15*time.Second
		}
		c.sent.Add(1)
		record.Logf("client %s sends %s %s", name, r.Attempt, r.Path)
		a := conn.Do(r)
		used++
		_, reached := passed.Load(r.Attempt)
		switch {
		case a.Err != nil:
			record.Logf("client %s: %s ends without a whole answer after %d ms: %v; passed on: %v; request %d of its connection",
				name, r.Attempt, a.Duration.Milliseconds(), a.Err, reached, used)
			if reached && used > 1 && a.Err == io.ErrUnexpectedEOF || reached && used > 1 && !a.Head {
				c.cutAfterPass.Add(1)
			}
		case a.Status == http.StatusOK && string(a.Body) == answer(r.Attempt):
			c.ok.Add(1)
			record.Logf("client %s: %s is answered 200", name, r.Attempt)
		case a.Status == http.StatusServiceUnavailable:
			c.refused.Add(1)
			record.Logf("client %s: %s is answered 503", name, r.Attempt)
		default:
			c.failed.Add(1)
			record.Logf("client %s: %s is answered %d", name, r.Attempt, a.Status)
		}
		if a.Err != nil || a.Header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
	}
}
