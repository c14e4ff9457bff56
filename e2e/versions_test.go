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
	"dandelionrill.example/fleet/testfleet"
	standin "dandelionrill.example/standin/platform"
)

var observedProcesses = []string{"router-1", "router-2", "agent-engine-1", "agent-engine-2", "agent-engine-3", "agent-ledger-1", "agent-ledger-2"}

// readStatus reads the status of a process, for at most a second.
func readStatus(ctx context.Context, fleet *testfleet.Fleet, name string) (status admin.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fleet.Address(name+"-admin")+admin.PathStatus, nil)
	if err != nil {
		return status, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.AdminToken())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// configurationVersion returns the configuration version in force at a process, or 0
// if the process does not answer.
func configurationVersion(ctx context.Context, name string) uint64 {
	status, err := readStatus(ctx, sharedFleet, name)
	if err != nil {
		return 0
	}
	return status.Configuration.Version
}

// awaitVersion waits until at least version want is in force at all named processes.
func awaitVersion(ctx context.Context, t *testing.T, want uint64, names ...string) {
	for _, name := range names {
		for configurationVersion(ctx, name) < want {
			must.NoError(t, ctx.Err(), must.Sprint(name))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Publishes configuration changes while an observer polls the version in force at
// every process. One router is paused during one of the changes, and the platform
// fails right after another. No process may ever report a lower version than before.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	ctx := newTestContext(t)
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: "http://" + sharedFleet.Address("platform")})
	must.NoError(t, err)
	store := revision.New(revision.Options{Platform: api})
	observeCtx, stop := context.WithCancel(ctx)
	var observers sync.WaitGroup
	for _, name := range observedProcesses {
		observers.Go(func() {
			for last := uint64(0); observeCtx.Err() == nil; {
				v := configurationVersion(observeCtx, name)
				if v != 0 && v < last {
					t.Errorf("%s: version %d after %d", name, v, last)
				}
				last = max(last, v)
			}
		})
	}
	publishWeight := func(weight int) uint64 {
		cfg, err := store.Current(ctx)
		must.NoError(t, err)
		cfg.Customers[0].Weight = weight
		v, err := store.Publish(ctx, cfg, cfg.Version)
		must.NoError(t, err)
		return v
	}
	for weight := 2; weight < 8; weight++ {
		awaitVersion(ctx, t, publishWeight(weight), observedProcesses...)
	}
	must.NoError(t, syscall.Kill(sharedFleet.ID("router-2"), syscall.SIGSTOP))
	runningProcesses := append([]string{"router-1"}, observedProcesses[2:]...)
	missedVersion := publishWeight(8)
	awaitVersion(ctx, t, missedVersion, runningProcesses...)
	must.NoError(t, syscall.Kill(sharedFleet.ID("router-2"), syscall.SIGCONT))
	awaitVersion(ctx, t, missedVersion, observedProcesses...)
	lastVersion := publishWeight(9)
	awaitVersion(ctx, t, lastVersion, "router-1")
	must.NoError(t, sharedFleet.SetFaults(ctx, standin.Faults{Outage: standin.OutageRefuse}, "platform"))
	awaitVersion(ctx, t, lastVersion, observedProcesses...)
	must.NoError(t, sharedFleet.SetFaults(ctx, standin.Faults{}, "platform"))
	stop()
	observers.Wait()
}
