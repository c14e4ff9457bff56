package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/revision"
	standin "dandelionrill.example/standin/platform"
)

var observed = []string{"router-1", "router-2", "agent-engine-1", "agent-engine-2", "agent-engine-3", "agent-ledger-1", "agent-ledger-2"}

// version returns the version in force at a process; 0 if it does not answer.
func version(ctx context.Context, name string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fleet.Address(name+"-admin")+admin.PathStatus, nil)
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+fleet.AdminToken())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var status admin.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return 0
	}
	return status.Configuration.Version
}

// awaitVersion waits until all named processes have at least want in force.
func awaitVersion(ctx context.Context, t *testing.T, want uint64, names ...string) {
	for _, name := range names {
		for version(ctx, name) < want {
			must.NoError(t, ctx.Err(), must.Sprint(name))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Changes are accepted while an observer watches every process, one router is
// paused for some of them, and the platform goes out right after one. No
// process is ever seen with an earlier version than before.
func TestVersionsNeverGoBack(t *testing.T) {
	ctx := limited(t)
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: "http://" + fleet.Address("platform")})
	must.NoError(t, err)
	store := revision.New(revision.Options{Platform: api})
	watching, stop := context.WithCancel(ctx)
	var observers sync.WaitGroup
	for _, name := range observed {
		observers.Go(func() {
			for last := uint64(0); watching.Err() == nil; {
				v := version(watching, name)
				if v != 0 && v < last {
					t.Errorf("%s: version %d after %d", name, v, last)
				}
				last = max(last, v)
			}
		})
	}
	change := func(weight int) uint64 {
		cfg, err := store.Current(ctx)
		must.NoError(t, err)
		cfg.Customers[0].Weight = weight
		v, err := store.Publish(ctx, cfg, cfg.Version)
		must.NoError(t, err)
		return v
	}
	for weight := 2; weight < 8; weight++ {
		awaitVersion(ctx, t, change(weight), observed...)
	}
	must.NoError(t, syscall.Kill(fleet.ID("router-2"), syscall.SIGSTOP))
	others := append([]string{"router-1"}, observed[2:]...)
	missed := change(8)
	awaitVersion(ctx, t, missed, others...)
	must.NoError(t, syscall.Kill(fleet.ID("router-2"), syscall.SIGCONT))
	awaitVersion(ctx, t, missed, observed...)
	last := change(9)
	awaitVersion(ctx, t, last, "router-1")
	must.NoError(t, fleet.SetFaults(ctx, standin.Faults{Outage: standin.OutageRefuse}, "platform"))
	awaitVersion(ctx, t, last, observed...)
	must.NoError(t, fleet.SetFaults(ctx, standin.Faults{}, "platform"))
	stop()
	observers.Wait()
}
