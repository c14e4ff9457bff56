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
	completionsPath    = "/v1/chat/completions"
	settleTime         = 2 * time.Second // between opening the streams and measuring them
	openStreamsTimeout = 2 * time.Minute
	refusalBackoff     = 100 * time.Millisecond // delay before a retry
	endlessTokens      = 1 << 20
)

// Pair holds the results of the same load sent directly to an upstream and through
// the fleet, in alternating rounds.
type Pair struct {
	Direct, Fleet []Result
}

// Compare sends load alternately to the first engine and to the first router, for
// the given number of rounds.
func Compare(ctx context.Context, f *testfleet.Fleet, load Load, rounds int) Pair {
	var p Pair
	for range rounds {
		p.Direct = append(p.Direct, load.Run(ctx, Direct(f)))
		p.Fleet = append(p.Fleet, load.Run(ctx, ViaFleet(f)))
	}
	return p
}

// Direct returns the first engine as a target.
func Direct(f *testfleet.Fleet) Target {
	return Target{URL: "http://" + f.Address("engine-1") + completionsPath}
}

// ViaFleet returns the first router as a target.
func ViaFleet(f *testfleet.Fleet) Target {
	return Target{URL: "http://" + f.Address("router-1") + completionsPath, Key: f.CustomerKey()}
}

// Processes are the processes of one kind: those whose names start with Prefix.
type Processes struct {
	Fleet  *testfleet.Fleet
	Prefix string
}

// ProcessorTime returns the total processor time that the processes have used.
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

// ResidentBytes returns the total resident memory of the processes.
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

// Cost is the processor time per token for each kind of process while streams were
// open.
type Cost struct {
	TokensPerSecond       float64         // tokens that arrived
	ProcessorTimePerToken []time.Duration // one value for each kind of process
	TokenGap              Quantiles       // time between tokens of a stream
}

// MeasureCost keeps streams open to target and measures the processor time that each
// kind of process uses during window.
func MeasureCost(ctx context.Context, target Target, streams int, window time.Duration, kinds []Processes) (Cost, error) {
	var cost Cost
	var err error
	gaps, failure := WithOpenStreams(ctx, target, streams, func(tokens func() int64) error {
		cost, err = measureWindow(window, tokens, kinds)
		return err
	})
	cost.TokenGap = quantiles(gaps)
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
		return Cost{}, errors.New("bench: no token arrived during the measurement")
	}
	cost := Cost{TokensPerSecond: float64(relayed) / elapsed.Seconds()}
	for i := range kinds {
		cost.ProcessorTimePerToken = append(cost.ProcessorTimePerToken, (after[i]-before[i])/time.Duration(relayed))
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

// WithOpenStreams opens streams to target and waits until each has received a token
// or ended. It then calls visit with a function that returns the number of tokens
// received so far, cancels the streams and returns the times between their tokens.
// A refused stream is retried, so that the load limit of the fleet can adapt to the
// load.
func WithOpenStreams(ctx context.Context, target Target, streams int, visit func(tokens func() int64) error) ([]time.Duration, error) {
	open := &openStreams{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}, target: target}
	streamsCtx, cancel := context.WithTimeout(ctx, openStreamsTimeout)
	defer cancel()
	open.opened.Add(streams)
	var ended sync.WaitGroup
	for worker := range streams {
		ended.Go(func() { open.keepOpen(streamsCtx, worker) })
	}
	open.opened.Wait()
	time.Sleep(settleTime)
	err := visit(open.tokens.Load)
	cancel()
	ended.Wait()
	open.client.CloseIdleConnections()
	return open.gaps, errors.CombineErrors(open.failure, err)
}

// openStreams keeps streams to a target open. mu protects the fields below it.
type openStreams struct {
	client *http.Client
	target Target
	opened sync.WaitGroup
	tokens atomic.Int64

	mu      sync.Mutex
	gaps    []time.Duration
	failure error // of a stream that ended early or received no token
}

// keepOpen opens a stream, retrying while it is refused, and reads it until it ends.
func (o *openStreams) keepOpen(ctx context.Context, worker int) {
	var once sync.Once
	defer once.Do(o.opened.Done)
	onToken := func(int) {
		o.tokens.Add(1)
		once.Do(o.opened.Done)
	}
	load := Load{Tokens: endlessTokens}
	for round := 0; ; round++ {
		stream, err := load.stream(ctx, o.client, o.target, worker, round, onToken)
		if stream.Status == http.StatusServiceUnavailable && ctx.Err() == nil {
			time.Sleep(refusalBackoff)
			continue
		}
		o.recordEnd(ctx, stream, err)
		return
	}
}

// recordEnd records the token gaps of a stream, and a failure if it ended before ctx
// or received no token.
func (o *openStreams) recordEnd(ctx context.Context, stream testfleet.Stream, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gaps = append(o.gaps, stream.TokenGaps...)
	if ctx.Err() == nil {
		o.failure = errors.CombineErrors(errors.New("bench: a stream ended before it was cancelled: "+stream.LastData), err)
	} else if stream.Tokens == 0 {
		o.failure = errors.Wrap(err, "bench: a stream received no token")
	}
}

// TableRow writes a row of a Markdown table.
func TableRow(w io.Writer, cells ...string) {
	_, _ = io.WriteString(w, "| "+strings.Join(cells, " | ")+" |\n")
}

// TableHeader writes an empty line and the header of a Markdown table.
func TableHeader(w io.Writer, titles ...string) {
	_, _ = io.WriteString(w, "\n")
	TableRow(w, titles...)
	TableRow(w, slices.Repeat([]string{"---"}, len(titles))...)
}
