// Command chunks plays case 5: the clients of one tenant send large bodies in chunks, at seven
// times the usual rate for a while.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/review/lab"
)

const (
	host    = "desk.example"
	key     = "n2ctnfzs989anu6wsjnb"
	service = "entries"
	// memoryMb is that of an edge machine of cbct-entries, and bodyBytes the limit of a body.
	memoryMb  = 284
	bodyBytes = 4194304
	routers   = 2
	// usual is the number of clients of one tenant at each router that send large bodies, and hot
	// how many times its usual this tenant sends.
	usual = 10
	hot   = 7
	// desks is the number of further clients at each router. Their requests are small and take
	// deskWork.
	desks    = 6
	deskWork = 3 * time.Second
	// hotTime is how long it does.
	hotTime = 6500 * time.Millisecond
	work    = 1500 * time.Millisecond
	// uplink is what a client sends, in bytes a second: 8 Mbit/s.
	uplink = 1000000
)

func main() { lab.Main(play) }

type counts struct {
	sent, ok, refused, failed, noConnection, cutAfterPass atomic.Int64
}

func play(root string, trouble bool, record *lab.Record) (broken bool, err error) {
	fleet, err := lab.NewFleet(lab.FleetOptions{Root: root, Routers: routers, MemoryMb: memoryMb, Record: record})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	var passed sync.Map
	for i, zone := range lab.Zones {
		id := fmt.Sprintf("i-00%d", i)
		r, err := lab.NewReplica(id, service, zone, 64, func(e *lab.Exchange) bool {
			passed.Store(e.Attempt, true)
			record.Logf("replica %s runs %s with %d bytes", id, e.Attempt, len(e.Body))
			if len(e.Body) < bodyBytes {
				time.Sleep(deskWork)
			} else {
				time.Sleep(work)
			}
			_, err := io.WriteString(e.Conn, lab.Success(e.Attempt, id, "ok"))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		defer r.Close()
		fleet.Store.Put("servers", id, r.Entry("ready", 1))
	}
	fleet.Store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			lab.Route{Name: "r-1", Host: host, Prefix: "/sheet/", Kind: "non_idempotent", Service: service, TimeoutMs: 15000, TargetMs: 5000, Priority: 2, MaxAttempts: 1}.Spec(),
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
	end, over := make(chan struct{}), make(chan struct{})
	start := func(router, first, last int, end <-chan struct{}) {
		for i := first; i < last; i++ {
			clients.Add(1)
			go func() {
				defer clients.Done()
				runClient(fmt.Sprintf("c%d-%d", router, i), fleet.Routers[router].Frontend, i >= 0, record, &c, &passed, end)
			}()
		}
	}
	for i := range fleet.Routers {
		start(i, -desks, usual, end)
	}
	peak := make(chan int, 1)
	go func() {
		most := 0
		for {
			select {
			case <-end:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
				for _, r := range fleet.Routers {
					most = max(most, lab.MemoryMb(r.PID()))
				}
			}
		}
	}()
	time.Sleep(8 * time.Second)
	if trouble {
		record.Logf("one tenant sends many times its usual: %d clients with large bodies at each router instead of %d", usual*hot, usual)
		for i := range fleet.Routers {
			start(i, usual, usual*hot, over)
		}
	}
	time.Sleep(hotTime)
	close(over)
	time.Sleep(12 * time.Second)
	close(end)
	clients.Wait()
	record.Logf("sent %d, answered 200 %d, answered 503 %d, other answers %d, no connection %d, restarts %d, most memory %d MB",
		c.sent.Load(), c.ok.Load(), c.refused.Load(), c.failed.Load(), c.noConnection.Load(), fleet.Restarts.Load(), <-peak)
	cut := c.cutAfterPass.Load()
	record.Logf("kept connections closed without an answer after their request was passed on: %d (at most 3 are allowed)", cut)
	return cut > 3, nil
}

const small = "a fee is paid"

var chunk = make([]byte, 64<<10)

// sendChunks sends a body of bodyBytes in chunks.
func sendChunks(w io.Writer) error {
	for sent := 0; sent < bodyBytes; sent += len(chunk) {
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
			return err
		}
		time.Sleep(time.Second * time.Duration(len(chunk)) / uplink)
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

func runClient(name, address string, large bool, record *lab.Record, c *counts, passed *sync.Map, end <-chan struct{}) {
	var conn *lab.Client
	used := 0
	for n := 0; ; n++ {
		select {
		case <-end:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(50 * time.Millisecond):
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
		r := &lab.Request{Method: http.MethodPost, Path: "/sheet/x", Host: host, Attempt: fmt.Sprintf("%s-%d", name, n), Key: key, Deadline: 15 * time.Second}
		c.sent.Add(1)
		begun := time.Now()
		_ = conn.Conn.SetDeadline(begun.Add(r.Deadline + time.Second))
		var err error
		if !large {
			_, err = io.WriteString(conn.Conn, r.Head(len(small))+small)
		} else if _, err = io.WriteString(conn.Conn, r.Head(-1)); err == nil {
			err = sendChunks(conn.Conn)
		}
		a := conn.Read(r.Method)
		if err != nil && a.Err != nil {
			a.Err = err
		}
		used++
		_, reached := passed.Load(r.Attempt)
		switch {
		case a.Err != nil:
			record.Logf("client %s: %s ends without a whole answer after %d ms: %v; passed on: %v; request %d of its connection",
				name, r.Attempt, time.Since(begun).Milliseconds(), a.Err, reached, used)
			if reached && used > 1 {
				c.cutAfterPass.Add(1)
			}
		case a.Status == http.StatusOK:
			c.ok.Add(1)
		case a.Status == http.StatusServiceUnavailable:
			c.refused.Add(1)
			record.Logf("client %s: %s is answered 503 %s", name, r.Attempt, a.Body)
		default:
			c.failed.Add(1)
			record.Logf("client %s: %s is answered %d %s", name, r.Attempt, a.Status, a.Body)
		}
		if a.Err != nil || a.Header.Get("Connection") == "close" {
			conn.Close()
			conn = nil
		}
	}
}
