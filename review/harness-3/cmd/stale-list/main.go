// Command stale-list shows a stream that is taken up at another version than the one that began
// it: a cache list that was read before the stream began is taken for a proof.
package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/review3/lab"
)

const (
	host     = "chat.example"
	path     = "/chat/2f"
	key      = "key-of-the-desk"
	chats    = 240
	newer    = 8 // replicas of the newer version
	interval = 8 * time.Millisecond
	pieces   = 60
)

func main() { lab.Main(run) }

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-chat", "host": host, "pathPrefix": "/chat/", "routeKind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 500,
			"priority": 0, "service": "registry-llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetItlMs": 400,
		}},
		"services": []map[string]any{{
			"name": "registry-llm", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"slots": 64, "kvCapacity": 530331, "kvBytes": 163840, "tokenStride": 5, "most": 2},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "desk", "apiKeys": []string{key}, "priority": 1}},
	}
}

// request returns one turn of a chat. The last part of its prompt belongs to the chat.
func request(router, attempt string, chat int, turn string, last int) lab.Request {
	return lab.Request{
		Router: router, Attempt: attempt, Method: "POST", Host: host, Path: path, Key: key, Deadline: 15 * time.Second,
		Prompt:    fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e440%04x:250", chat, chat),
		LastEvent: last, Body: fmt.Sprintf("chat %d, %s", chat, turn),
	}
}

// versions returns the versions that wrote the pieces, each once.
func versions(groups ...[]lab.Piece) []string {
	var out []string
	for _, pieces := range groups {
		for _, p := range pieces {
			version := p.Text[strings.LastIndexByte(p.Text, ' ')+1:]
			if len(out) == 0 || out[len(out)-1] != version {
				out = append(out, version)
			}
		}
	}
	return out
}

func run(l *lab.Lab) (bool, error) {
	l.Store.Set("config", "main", configuration())
	var mu sync.Mutex
	first := make(map[string]string) // replica of the first turn, by attempt
	replica := func(id, version string) (*lab.Replica, error) {
		r, err := l.Replica(lab.ReplicaOptions{
			ID: id, Service: "registry-llm", Version: version, Zone: "a", Pieces: pieces, Gap: 20 * time.Millisecond,
			Ran: func(run lab.Run) {
				mu.Lock()
				defer mu.Unlock()
				first[run.Attempt] = id
			},
		})
		if err == nil {
			r.Register(l.Store)
		}
		return r, err
	}
	old, err := replica("i-old-1", "v1")
	if err != nil {
		return false, err
	}
	if _, err := replica("i-old-2", "v1"); err != nil {
		return false, err
	}
	x, err := l.Router("edge-a-1", "a")
	if err != nil {
		return false, err
	}
	y, err := l.Router("edge-a-2", "a")
	if err != nil {
		return false, err
	}
	settings := lab.Settings{Store: l.Store.Address, Seeds: []string{x.Control, y.Control}, Bootstrap: true}
	for _, r := range []*lab.Router{x, y} {
		if err := r.Start(settings); err != nil {
			return false, err
		}
	}
	for _, r := range []*lab.Router{x, y} {
		if err := r.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second) // the routers have found each other

	// The first turn of each chat.
	caller := lab.NewCaller()
	defer caller.Close()
	var wg sync.WaitGroup
	for chat := range chats {
		wg.Go(func() {
			attempt := fmt.Sprintf("1%07x", chat)
			router := []string{x.Frontend, y.Frontend}[chat%2]
			a := caller.Do(context.Background(), request(router, attempt, chat, "first turn", 0), nil)
			l.Record.Printf("first-turn chat=%d attempt=%s status=%d pieces=%d ended=%v versions=%v", chat, attempt, a.Status, len(a.Pieces), a.Ended, versions(a.Pieces))
		})
		time.Sleep(interval)
	}
	wg.Wait()
	var returning []int
	for chat := range chats {
		if first[fmt.Sprintf("1%07x", chat)] == old.ID {
			returning = append(returning, chat)
		}
	}
	l.Record.Printf("chats whose first turn was at %s: %d", old.ID, len(returning))

	// Planned work: replicas of the newer version start, the old one drains.
	for n := range newer {
		if _, err := replica(fmt.Sprintf("i-new-%d", n), "v2"); err != nil {
			return false, err
		}
	}
	l.Record.Printf("release: %d replicas of v2 are ready", newer)
	time.Sleep(time.Second)
	old.Drain()
	l.Record.Printf("release: %s drains", old.ID)
	// Planned work: a router is stopped and started.
	l.Record.Printf("roll: %s gets SIGTERM", y.Name)
	y.Terminate(8 * time.Second)
	settings.Bootstrap = false
	if err := y.Start(settings); err != nil {
		return false, err
	}
	if err := y.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	l.Record.Printf("roll: %s is ready again", y.Name)
	time.Sleep(300 * time.Millisecond)

	// The chats return. In the midst of that the other router is killed.
	broken, refused, joined, whole := 0, 0, 0, 0
	if l.Trouble {
		time.AfterFunc(time.Second, func() {
			l.Record.Printf("node_kill: %s gets SIGKILL", x.Name)
			x.Signal(syscall.SIGKILL)
		})
	}
	for i, chat := range returning {
		router := x.Frontend
		if i >= int(time.Second/interval) && l.Trouble {
			break // the router is dead
		}
		wg.Go(func() {
			attempt := fmt.Sprintf("2%07x", chat)
			a := caller.Do(context.Background(), request(router, attempt, chat, "second turn", 0), nil)
			l.Record.Printf("second-turn chat=%d attempt=%s status=%d pieces=%d ended=%v versions=%v", chat, attempt, a.Status, len(a.Pieces), a.Ended, versions(a.Pieces))
			if a.Ended || len(a.Pieces) == 0 {
				mu.Lock()
				defer mu.Unlock()
				if a.Ended {
					whole++
				}
				return
			}
			// The connection broke: the client takes the stream up at another node.
			again, last := fmt.Sprintf("3%07x", chat), a.Pieces[len(a.Pieces)-1].ID
			b := caller.Do(context.Background(), request(y.Frontend, again, chat, "second turn", last), nil)
			seen := versions(a.Pieces, b.Pieces)
			l.Record.Printf("taken-up chat=%d attempt=%s after=%d status=%d pieces=%d ended=%v versions=%v", chat, again, last, b.Status, len(b.Pieces), b.Ended, seen)
			mu.Lock()
			defer mu.Unlock()
			broken++
			if b.Status != 200 {
				refused++
			} else if len(seen) > 1 {
				joined++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	l.Result("second turns whole %d, broken off %d; of these refused at their take-up %d, joined from two versions %d", whole, broken, refused, joined)
	return joined > 0, nil
}
