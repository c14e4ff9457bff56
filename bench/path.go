package bench

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/testfleet"
)

const (
	completionsPath = "/v1/chat/completions"
	settleTime      = time.Second // after streams are open, before memory is read
)

// Pair is the same load sent straight to an upstream and through the fleet, in
// alternating rounds.
type Pair struct {
	Direct, Fleet []Result
}

// Compare sends load in rounds to the first engine and to the first router.
func Compare(ctx context.Context, f *testfleet.Fleet, load Load, rounds int) Pair {
	var p Pair
	for range rounds {
		p.Direct = append(p.Direct, load.Run(ctx, Direct(f)))
		p.Fleet = append(p.Fleet, load.Run(ctx, Through(f)))
	}
	return p
}

// Direct returns the first engine.
func Direct(f *testfleet.Fleet) Target {
	return Target{URL: "http://" + f.Address("engine-1") + completionsPath}
}

// Through returns the first router.
func Through(f *testfleet.Fleet) Target {
	return Target{URL: "http://" + f.Address("router-1") + completionsPath, Key: f.CustomerKey()}
}

// Processes sums over the processes of one kind: those whose names begin with
// a prefix.
type Processes struct {
	Fleet  *testfleet.Fleet
	Prefix string
}

// ProcessorTime returns the processor time that the processes have used.
func (p Processes) ProcessorTime() (time.Duration, error) {
	var total time.Duration
	for _, id := range p.Fleet.IDs(p.Prefix) {
		used, err := testfleet.ProcessorTime(id)
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

// ResidentBytes returns the resident memory of the processes.
func (p Processes) ResidentBytes() (int64, error) {
	var total int64
	for _, id := range p.Fleet.IDs(p.Prefix) {
		resident, err := testfleet.ResidentBytes(id)
		if err != nil {
			return 0, err
		}
		total += resident
	}
	return total, nil
}

// Cost is the processor time per token that a load cost each kind of process.
type Cost struct {
	Result
	PerToken []time.Duration // one for each kind
}

// Measure sends load to target and takes the processor time of each kind.
func Measure(ctx context.Context, target Target, load Load, kinds []Processes) (Cost, error) {
	before := make([]time.Duration, len(kinds))
	for i, kind := range kinds {
		used, err := kind.ProcessorTime()
		if err != nil {
			return Cost{}, err
		}
		before[i] = used
	}
	cost := Cost{Result: load.Run(ctx, target)}
	if cost.Tokens == 0 {
		return cost, errors.Wrap(cost.Example, "bench: no token arrived")
	}
	for i, kind := range kinds {
		used, err := kind.ProcessorTime()
		if err != nil {
			return cost, err
		}
		cost.PerToken = append(cost.PerToken, (used-before[i])/time.Duration(cost.Tokens))
	}
	return cost, nil
}

// HoldStreams opens streams to target, waits until each has had a token, runs
// visit and leaves them.
func HoldStreams(ctx context.Context, target Target, streams int, visit func() error) error {
	ctx, leave := context.WithCancel(ctx)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	load := Load{Tokens: 1 << 20}
	var opened, ended sync.WaitGroup
	opened.Add(streams)
	failures := make(chan error, streams)
	for worker := range streams {
		ended.Go(func() {
			var once sync.Once
			defer once.Do(opened.Done)
			_, err := load.stream(ctx, client, target, worker, streams, func(int) { once.Do(opened.Done) })
			if ctx.Err() == nil {
				failures <- errors.Wrap(err, "bench: held stream ended")
			}
		})
	}
	opened.Wait()
	time.Sleep(settleTime)
	err := visit()
	leave()
	ended.Wait()
	client.CloseIdleConnections()
	select {
	case failure := <-failures:
		return errors.CombineErrors(failure, err)
	default:
		return err
	}
}

// Row writes one row of a Markdown table.
func Row(w io.Writer, cells ...string) {
	_, _ = io.WriteString(w, "| "+strings.Join(cells, " | ")+" |\n")
}

// Head writes the head of a Markdown table.
func Head(w io.Writer, titles ...string) {
	_, _ = io.WriteString(w, "\n")
	Row(w, titles...)
	Row(w, slices.Repeat([]string{"---"}, len(titles))...)
}
