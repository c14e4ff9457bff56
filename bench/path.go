package bench

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/testfleet"
)

const (
	completionsPath = "/v1/chat/completions"
	settleTime      = 2 * time.Second // after streams are open, before they are measured
	holdTimeout     = 2 * time.Minute
	refusedPause    = 100 * time.Millisecond // before a refused stream is asked for again
	endlessTokens   = 1 << 20
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

// Cost is what tokens cost each kind of process while streams were open.
type Cost struct {
	Rate     float64         // tokens a second that arrived
	PerToken []time.Duration // processor time, one for each kind
	Gap      Quantiles
}

// Measure holds streams open to target for a window and takes the processor
// time of each kind.
func Measure(ctx context.Context, target Target, streams int, window time.Duration, kinds []Processes) (Cost, error) {
	var cost Cost
	var err error
	gaps, failure := HoldStreams(ctx, target, streams, func(tokens func() int64) error {
		cost, err = measureWindow(window, tokens, kinds)
		return err
	})
	cost.Gap = quantiles(gaps)
	return cost, failure
}

func measureWindow(window time.Duration, tokens func() int64, kinds []Processes) (Cost, error) {
	before, err := processorTimes(kinds)
	if err != nil {
		return Cost{}, err
	}
	start, first := time.Now(), tokens()
	time.Sleep(window)
	relayed, elapsed := tokens()-first, time.Since(start)
	after, err := processorTimes(kinds)
	if err != nil {
		return Cost{}, err
	}
	if relayed == 0 {
		return Cost{}, errors.New("bench: no token arrived")
	}
	cost := Cost{Rate: float64(relayed) / elapsed.Seconds()}
	for i := range kinds {
		cost.PerToken = append(cost.PerToken, (after[i]-before[i])/time.Duration(relayed))
	}
	return cost, nil
}

func processorTimes(kinds []Processes) ([]time.Duration, error) {
	times := make([]time.Duration, len(kinds))
	for i, kind := range kinds {
		used, err := kind.ProcessorTime()
		if err != nil {
			return nil, err
		}
		times[i] = used
	}
	return times, nil
}

// HoldStreams opens streams to target, waits until each has had a token, runs
// visit with the count of tokens so far, leaves the streams and returns the
// times between their tokens. A stream that is refused is asked for again, so
// that the fleet's load bound can follow the load.
func HoldStreams(ctx context.Context, target Target, streams int, visit func(tokens func() int64) error) ([]time.Duration, error) {
	h := &holder{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}, target: target}
	holding, leave := context.WithTimeout(ctx, holdTimeout)
	defer leave()
	h.opened.Add(streams)
	var ended sync.WaitGroup
	for worker := range streams {
		ended.Go(func() { h.hold(holding, worker) })
	}
	h.opened.Wait()
	time.Sleep(settleTime)
	err := visit(h.tokens.Load)
	leave()
	ended.Wait()
	h.client.CloseIdleConnections()
	return h.gaps, errors.CombineErrors(h.failure, err)
}

// holder holds streams open. Its fields from mu on belong to mu.
type holder struct {
	client *http.Client
	target Target
	opened sync.WaitGroup
	tokens atomic.Int64

	mu      sync.Mutex
	gaps    []time.Duration
	failure error // of a stream that ended by itself
}

func (h *holder) hold(ctx context.Context, worker int) {
	var once sync.Once
	defer once.Do(h.opened.Done)
	onToken := func(int) {
		h.tokens.Add(1)
		once.Do(h.opened.Done)
	}
	load := Load{Tokens: endlessTokens}
	for round := 0; ; round++ {
		stream, err := load.stream(ctx, h.client, h.target, worker, round, onToken)
		if stream.Status == http.StatusServiceUnavailable && ctx.Err() == nil {
			time.Sleep(refusedPause)
			continue
		}
		h.end(ctx, stream, err)
		return
	}
}

func (h *holder) end(ctx context.Context, stream testfleet.Stream, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gaps = append(h.gaps, stream.Gaps...)
	if ctx.Err() == nil {
		h.failure = errors.CombineErrors(errors.New("bench: a held stream ended: "+stream.LastRaw), err)
	} else if stream.Tokens == 0 {
		h.failure = errors.Wrap(err, "bench: a stream never opened")
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
