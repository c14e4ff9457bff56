// Package bench compares the request path with direct requests to an upstream, using
// real processes on loopback. Run it with make bench.
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

// Target is the endpoint that receives a load.
type Target struct {
	URL string // of the chat completions endpoint
	Key string // customer API key; empty when the target is an upstream
}

// Load is a closed-loop load of concurrent streams: when a stream ends, the next
// one starts. After a stream that did not complete, the next one starts only after
// refusalBackoff.
type Load struct {
	Streams  int
	Tokens   int           // in each answer
	Duration time.Duration // no stream starts after this time has passed
}

// Result holds the measurements of one load.
type Result struct {
	Completed   int // streams that completed
	Tokens      int
	Refused     int       // streams refused with status 503, before any token
	Errors      int       // all other streams
	FirstToken  Quantiles // time to the first token
	TokenGap    Quantiles // between tokens
	Elapsed     time.Duration
	SampleError error // the latest of the errors
}

// Quantiles are percentiles of a sample.
type Quantiles struct {
	P50, P95, P99 time.Duration
}

// quantiles sorts sample in place and returns its percentiles. Those of an empty
// sample are zero.
func quantiles(sample []time.Duration) Quantiles {
	if len(sample) == 0 {
		return Quantiles{}
	}
	slices.Sort(sample)
	at := func(percent int) time.Duration { return sample[(len(sample)-1)*percent/100] }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Run sends the load to target and returns when every stream has ended.
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
				case stream.Complete:
					result.Completed++
					first = append(first, stream.FirstTokenDelay)
					gaps = append(gaps, stream.TokenGaps...)
				case stream.Status == http.StatusServiceUnavailable:
					result.Refused++
				default:
					result.Errors++
					result.SampleError = errors.CombineErrors(err, errors.New(stream.LastData))
				}
				mu.Unlock()
				if !stream.Complete {
					time.Sleep(refusalBackoff)
				}
			}
		})
	}
	workers.Wait()
	result.Elapsed = time.Since(start)
	result.FirstToken, result.TokenGap = quantiles(first), quantiles(gaps)
	return result
}

// stream reads one stream of a new chat. onToken may be nil.
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
