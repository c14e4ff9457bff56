// Package bench measures the request path against its upstream over real
// processes on loopback. Run it by make bench.
package bench

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/testfleet"
)

// Target is where a load is sent.
type Target struct {
	URL string // of chat completions
	Key string // customer key; empty for an upstream
}

// Load is a closed loop of concurrent streams. A refused one comes back after a
// short pause.
type Load struct {
	Streams  int
	Tokens   int           // in each answer
	Duration time.Duration // new streams begin until then
}

// Result is what a load saw.
type Result struct {
	Streams int // ended whole
	Tokens  int
	Refused int       // with 503, before any token
	Errors  int       // all else
	First   Quantiles // time to the first token
	Gap     Quantiles // between tokens
	Elapsed time.Duration
	Example error // one of the errors
}

// Quantiles of a sample.
type Quantiles struct {
	P50, P95, P99 time.Duration
}

// quantiles sorts sample.
func quantiles(sample []time.Duration) Quantiles {
	if len(sample) == 0 {
		return Quantiles{}
	}
	slices.Sort(sample)
	at := func(percent int) time.Duration { return sample[(len(sample)-1)*percent/100] }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Run sends the load and returns once every stream has ended.
func (l Load) Run(ctx context.Context, target Target) Result {
	transport := &http.Transport{MaxIdleConnsPerHost: l.Streams}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var (
		workers sync.WaitGroup
		mu      sync.Mutex
		result  Result
		first   []time.Duration
		gaps    []time.Duration
	)
	start := time.Now()
	for worker := range l.Streams {
		workers.Go(func() {
			for round := 0; time.Since(start) < l.Duration; round++ {
				stream, err := l.stream(ctx, client, target, worker, round, nil)
				mu.Lock()
				result.Tokens += stream.Tokens
				switch {
				case stream.Whole:
					result.Streams++
					first = append(first, stream.First)
					gaps = append(gaps, stream.Gaps...)
				case stream.Status == http.StatusServiceUnavailable:
					result.Refused++
				default:
					result.Errors++
					result.Example = errors.CombineErrors(err, errors.New(stream.LastRaw))
				}
				mu.Unlock()
				if !stream.Whole {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	workers.Wait()
	result.Elapsed = time.Since(start)
	result.First, result.Gap = quantiles(first), quantiles(gaps)
	return result
}

func (l Load) stream(ctx context.Context, client *http.Client, target Target, worker, round int, onToken func(int)) (testfleet.Stream, error) {
	chat := fmt.Sprintf("bench-%d-%d", worker, round)
	header := http.Header{"Dandelionrill-Chat": {chat}}
	if target.Key != "" {
		header.Set("Authorization", "Bearer "+target.Key)
	}
	return testfleet.ReadStream(ctx, client, target.URL, header, l.body(chat), onToken)
}

func (l Load) body(chat string) string {
	return fmt.Sprintf(`{"model":"registry-llm","stream":true,"ignore_eos":true,"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"%s"}]}`, l.Tokens, chat)
}
