// Package chats plays chats that return while a release is under way. Their streams break off with
// the router that served them, and are taken up at another one.
package chats

import (
	"context"
	_ "embed"
	"encoding/json"
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
	rounds   = 3
	chats    = 520
	newer    = 6 // replicas of the newer version that start in each round
	interval = 7 * time.Millisecond
	pieces   = 60
	// untilKill is the time from the first second turn of a round to the kill.
	untilKill = 900 * time.Millisecond
	// lapse is the time after which the store removes the entry of a replica that is silent.
	lapse = 3600 * time.Millisecond
)

// Options tell two cases apart.
type Options struct {
	// Roll stops and starts the router at which streams are taken up, before the chats return.
	Roll bool
	// Equal makes the second turn of a chat the same request as the first.
	Equal bool
	// Crash is the number of replicas of v2 that crash with the router.
	Crash int
}

// configuration is that of the operator.
//
//go:embed config.json
var configuration []byte

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

// play is the state of the case.
type play struct {
	*lab.Lab
	Options
	x, y     *lab.Router
	settings lab.Settings
	caller   *lab.Caller

	mu                               sync.Mutex
	ranAt                            map[string]string // replica, by attempt
	whole, broken, refused, joinedUp int
}

// Run plays the case and reports whether a stream was joined from two versions.
func Run(l *lab.Lab, options Options) (bool, error) {
	l.Store.Set("config", "main", json.RawMessage(configuration))
	p := &play{Lab: l, Options: options, caller: lab.NewCaller(), ranAt: make(map[string]string)}
	defer p.caller.Close()
	var old []*lab.Replica
	for n := range rounds + 1 {
		r, err := p.replica(fmt.Sprintf("i-old-%d", n), "v1")
		if err != nil {
			return false, err
		}
		old = append(old, r)
	}
	if err := p.startRouters(); err != nil {
		return false, err
	}
	p.firstTurns()
	for round := range rounds {
		if err := p.round(round, old[round]); err != nil {
			return false, err
		}
	}
	l.Result("second turns whole %d, broken off %d; of these refused at their take-up %d, joined from two versions %d", p.whole, p.broken, p.refused, p.joinedUp)
	return p.joinedUp > 0, nil
}

// replica starts and registers a replica.
func (p *play) replica(id, version string) (*lab.Replica, error) {
	r, err := p.Replica(lab.ReplicaOptions{
		ID: id, Service: "registry-llm", Version: version, Zone: "a", Pieces: pieces, Gap: 20 * time.Millisecond,
		Ran: func(run lab.Run) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.ranAt[run.Attempt] = id
		},
	})
	if err == nil {
		r.Register(p.Store)
	}
	return r, err
}

func (p *play) startRouters() (err error) {
	if p.x, err = p.Router("edge-a-1", "a"); err != nil {
		return err
	}
	if p.y, err = p.Router("edge-a-2", "a"); err != nil {
		return err
	}
	p.settings = lab.Settings{Store: p.Store.Address, Seeds: []string{p.x.Control, p.y.Control}, Bootstrap: true}
	for _, r := range []*lab.Router{p.x, p.y} {
		if err := r.Start(p.settings); err != nil {
			return err
		}
	}
	for _, r := range []*lab.Router{p.x, p.y} {
		if err := r.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	p.settings.Bootstrap = false
	time.Sleep(time.Second) // the routers have found each other
	return nil
}

// startAgain starts a router that has ended.
func (p *play) startAgain(r *lab.Router) error {
	if err := r.Start(p.settings); err != nil {
		return err
	}
	err := r.AwaitReady(10 * time.Second)
	p.Record.Printf("%s is ready again", r.Name)
	return err
}

// firstTurns makes the first turn of each chat.
func (p *play) firstTurns() {
	var wg sync.WaitGroup
	for chat := range chats {
		wg.Go(func() {
			attempt := fmt.Sprintf("1%07x", chat)
			router := []string{p.x.Frontend, p.y.Frontend}[chat%2]
			a := p.caller.Do(context.Background(), request(router, attempt, chat, "first turn", 0), nil)
			p.Record.Printf("first-turn chat=%d attempt=%s status=%d pieces=%d ended=%v versions=%v", chat, attempt, a.Status, len(a.Pieces), a.Ended, versions(a.Pieces))
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

// round replaces one replica of v1, and lets the chats return whose first turn was at that replica. In
// the midst of that router x is killed.
func (p *play) round(round int, old *lab.Replica) error {
	var added []*lab.Replica
	for n := range newer {
		r, err := p.replica(fmt.Sprintf("i-new-%d-%d", round, n), "v2")
		if err != nil {
			return err
		}
		added = append(added, r)
	}
	p.Record.Printf("release: %d replicas of v2 are ready", newer)
	time.Sleep(time.Second)
	old.Drain()
	p.Record.Printf("release: %s drains", old.ID)
	if p.Roll {
		p.Record.Printf("roll: %s gets SIGTERM", p.y.Name)
		p.y.Terminate(8 * time.Second)
		if err := p.startAgain(p.y); err != nil {
			return err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if p.Trouble {
		time.AfterFunc(untilKill, func() {
			p.Record.Printf("node_kill: %s gets SIGKILL", p.x.Name)
			p.x.Signal(syscall.SIGKILL)
			for _, r := range added[:p.Crash] {
				p.Record.Printf("srv_crash: %s", r.ID)
				r.Crash(lapse)
			}
		})
	}
	var wg sync.WaitGroup
	began := time.Now()
	for _, chat := range p.startedAt(old.ID) {
		if time.Since(began) >= untilKill {
			break
		}
		wg.Go(func() { p.secondTurn(chat) })
		time.Sleep(interval)
	}
	wg.Wait()
	if !p.Trouble {
		return nil
	}
	p.x.Kill() // it has ended
	return p.startAgain(p.x)
}

// startedAt returns the chats whose first turn was at a replica.
func (p *play) startedAt(replica string) (out []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for chat := range chats {
		if p.ranAt[fmt.Sprintf("1%07x", chat)] == replica {
			out = append(out, chat)
		}
	}
	return out
}

// turn names the second turn, as the body of its request does.
func (p *play) turn() string {
	if p.Equal {
		return "first turn"
	}
	return "second turn"
}

// secondTurn makes the second turn of a chat at router x, and takes it up at y if it breaks off.
func (p *play) secondTurn(chat int) {
	attempt := fmt.Sprintf("2%07x", chat)
	a := p.caller.Do(context.Background(), request(p.x.Frontend, attempt, chat, p.turn(), 0), nil)
	p.Record.Printf("second-turn chat=%d attempt=%s status=%d pieces=%d ended=%v versions=%v", chat, attempt, a.Status, len(a.Pieces), a.Ended, versions(a.Pieces))
	if a.Ended || len(a.Pieces) == 0 {
		p.count(func() {
			if a.Ended {
				p.whole++
			}
		})
		return
	}
	again, last := fmt.Sprintf("3%07x", chat), a.Pieces[len(a.Pieces)-1].ID
	b := p.caller.Do(context.Background(), request(p.y.Frontend, again, chat, p.turn(), last), nil)
	seen := versions(a.Pieces, b.Pieces)
	p.Record.Printf("taken-up chat=%d attempt=%s after=%d status=%d pieces=%d ended=%v versions=%v", chat, again, last, b.Status, len(b.Pieces), b.Ended, seen)
	p.count(func() {
		p.broken++
		if b.Status != 200 {
			p.refused++
		} else if len(seen) > 1 {
			p.joinedUp++
		}
	})
}

func (p *play) count(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}
