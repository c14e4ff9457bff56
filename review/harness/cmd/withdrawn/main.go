// Command withdrawn plays case 3: the store comes back from a copy that still has a withdrawn key,
// and some routers are started anew.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dandelionrill.example/review/lab"
)

const (
	host     = "desk.example"
	kept     = "n2ctnfzs989anu6wsjnb"
	taken    = "anfqasnmgkcuyj8pjbvk" // the key that is withdrawn
	service  = "entries"
	memoryMb = 284
	routers  = 5
	killed   = 2
	// contact is contactMs, and apply configApplyMs, of tcsra-rill-large.
	contact = 5 * time.Second
	apply   = 4 * time.Second
	// rewrite is how long after the store's return the operator writes again.
	rewrite = 18 * time.Second
)

func main() { lab.Main(play) }

func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			lab.Route{Name: "r-1", Host: host, Prefix: "/pay/", Kind: "non_idempotent", Service: service, TimeoutMs: 1500, TargetMs: 120, Priority: 2, MaxAttempts: 1}.Spec(),
		},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   lab.Limits,
		"tenants":  []any{lab.Tenant(keys...)},
	}
}

func play(root string, trouble bool, record *lab.Record) (broken bool, err error) {
	fleet, err := lab.NewFleet(lab.FleetOptions{Root: root, Routers: routers, MemoryMb: memoryMb, Record: record, Later: true})
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	store := fleet.Store
	store.SetEra(1)
	var ran sync.Map
	for i, zone := range lab.Zones {
		id := fmt.Sprintf("i-00%d", i)
		r, err := lab.NewReplica(id, service, zone, 6, func(e *lab.Exchange) bool {
			ran.Store(e.Attempt, true)
			record.Logf("replica %s runs %s for %s", id, e.Attempt, e.Request.Header.Get(lab.HeaderTenant))
			_, err := io.WriteString(e.Conn, lab.Success(e.Attempt, id, "ok"))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		defer r.Close()
		store.Put("servers", id, r.Entry("ready", 1))
	}
	store.Put("config", "main", configuration(7, kept, taken))
	if err := fleet.Start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	store.Copy()
	store.Put("config", "main", configuration(9, kept))
	record.Logf("the store acknowledges version 9, which withdraws a key")
	withdrawn := time.Now()
	time.Sleep(4 * time.Second)

	judgedFrom := withdrawn.Add(apply)
	if trouble {
		record.Logf("the store is away")
		store.Leave()
		time.Sleep(time.Second)
		store.Return()
		record.Logf("the store is back from a copy with version 7")
		returned := time.Now()
		time.Sleep(time.Second)
		for _, r := range fleet.Routers[:killed] {
			record.Logf("%s is killed", r.Name)
			r.Signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, r := range fleet.Routers {
			if err := r.AwaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
		record.Logf("all routers are ready again")
		judgedFrom = time.Now().Add(contact)
		time.AfterFunc(time.Until(returned.Add(rewrite)), func() {
			store.Put("config", "main", configuration(9, kept))
			record.Logf("the operator writes version 9 again")
		})
	}
	end := time.Now().Add(14 * time.Second)
	var sent, refused, bad, sound atomic.Int64
	var group sync.WaitGroup
	for _, r := range fleet.Routers {
		for _, key := range []string{taken, kept} {
			group.Add(1)
			go func() {
				defer group.Done()
				for n := 0; time.Now().Before(end); n++ {
					time.Sleep(250 * time.Millisecond)
					c, err := lab.Dial(r.Frontend)
					if err != nil {
						continue
					}
					attempt := fmt.Sprintf("%s-%s-%d", r.Name, key[:4], n)
					judged := time.Now().After(judgedFrom)
					a := c.Do(&lab.Request{Method: http.MethodPost, Path: "/pay/x", Host: host, Attempt: attempt, Key: key, Deadline: 1500 * time.Millisecond, Body: []byte("fee")})
					c.Close()
					_, ran := ran.Load(attempt)
					record.Logf("client: %s with the key %s: %d, run: %v, in touch: %v", attempt, key[:4], a.Status, ran, judged)
					switch {
					case key == kept && a.Status == http.StatusOK:
						sound.Add(1)
					case key == taken && judged:
						sent.Add(1)
						if ran {
							bad.Add(1)
						} else {
							refused.Add(1)
						}
					}
				}
			}()
		}
	}
	group.Wait()
	record.Logf("with the key that is held: %d served", sound.Load())
	record.Logf("with the withdrawn key, at routers in touch: %d sent, %d refused, %d run (none is allowed)", sent.Load(), refused.Load(), bad.Load())
	return bad.Load() > 0, nil
}
