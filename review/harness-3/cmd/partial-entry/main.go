// Command partial-entry shows requests that are run by a service to which no configuration allows
// them to go: an entry of another writer, with fields missing, is used.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"dandelionrill.example/review3/lab"
)

const (
	host     = "desk.example"
	path     = "/transfer/2f"
	key      = "key-of-the-desk"
	ledger   = "share-ledger"
	index    = "holding-index"
	interval = 25 * time.Millisecond
	length   = 6 * time.Second
)

// configuration is that of the operator.
//
//go:embed config.json
var configuration []byte

func main() { lab.Main(run) }

func run(l *lab.Lab) (bool, error) {
	l.Store.Set("config", "main", json.RawMessage(configuration))
	var mu sync.Mutex
	wrong := make(map[string]string) // replica of another service, by the attempt that it ran
	replica := func(id, service string) (*lab.Replica, error) {
		r, err := l.Replica(lab.ReplicaOptions{
			ID: id, Service: service, Version: "v1", Zone: "a", Gap: 30 * time.Millisecond,
			Ran: func(run lab.Run) {
				if run.Path == path && service != ledger {
					mu.Lock()
					defer mu.Unlock()
					wrong[run.Attempt] = id
				}
			},
		})
		if err == nil {
			r.Register(l.Store)
		}
		return r, err
	}
	for _, id := range []string{"i-ledger-1", "i-ledger-2"} {
		if _, err := replica(id, ledger); err != nil {
			return false, err
		}
	}
	other, err := replica("i-index-1", index)
	if err != nil {
		return false, err
	}
	if _, err := replica("i-index-2", index); err != nil {
		return false, err
	}
	x, err := l.Router("edge-a-1", "a")
	if err != nil {
		return false, err
	}
	if err := x.Start(lab.Settings{Store: l.Store.Address, Seeds: []string{x.Control}, Bootstrap: true}); err != nil {
		return false, err
	}
	if err := x.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	if l.Trouble {
		time.AfterFunc(2*time.Second, func() {
			entry := map[string]any{"service": ledger, "address": other.Address, "zone": "a", "state": "ready"}
			l.Record.Printf("another writer writes servers/%s: %v", other.ID, entry)
			l.Store.Set("servers", other.ID, entry)
		})
	}
	caller := lab.NewCaller()
	defer caller.Close()
	var wg sync.WaitGroup
	statuses := make(map[int]int)
	told := 0 // transfers answered with success though no ledger has run them
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		wg.Go(func() {
			attempt := fmt.Sprintf("%08x", n)
			a := caller.Do(context.Background(), lab.Request{
				Router: x.Frontend, Attempt: attempt, Method: "POST", Host: host, Path: path, Key: key, Deadline: 1500 * time.Millisecond,
				Body: fmt.Sprintf(`{"transfer": %d, "shares": 25}`, n),
			}, nil)
			l.Record.Printf("answer attempt=%s status=%d replica=%q body=%q err=%v ms=%d", attempt, a.Status, a.Replica, a.Body, a.Err, a.TookMs)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.Status]++
			if a.Status == 200 && wrong[attempt] != "" {
				told++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.Result("transfers by status %v, run by a service to which no configuration allows them %d, of these answered with success %d", statuses, len(wrong), told)
	return len(wrong) > 0, nil
}
