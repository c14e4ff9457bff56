package retry

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Property tests run with a fixed seed; -rapid.seed on the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "292") }

func TestDecide(t *testing.T) {
	const left = time.Second
	for _, tc := range []struct {
		name string
		a    Attempt
		want Decision
	}{
		{"not sent", Attempt{Failure: FailureNotSent, Attempts: 1, Remaining: left}, DecisionRetry},
		{"refused", Attempt{Failure: FailureRefused, Attempts: 1, Remaining: left}, DecisionRetry},
		{"revoked", Attempt{Failure: FailureRevoked, Attempts: 1, Remaining: left}, DecisionRetry},
		{"final", Attempt{Failure: FailureFinal, Idempotent: true, Attempts: 1, Remaining: left}, DecisionFinal},
		{"may have run", Attempt{Failure: FailureMayHaveRun, Resumable: true, Attempts: 1, Remaining: left}, DecisionUnsafe},
		{"may have run, idempotent", Attempt{Failure: FailureMayHaveRun, Idempotent: true, Attempts: 1, Remaining: left}, DecisionRetry},
		{"cut", Attempt{Failure: FailureCut, Idempotent: true, Attempts: 1, Remaining: left}, DecisionUnsafe},
		{"cut, not idempotent", Attempt{Failure: FailureCut, Resumable: true, Attempts: 1, Remaining: left}, DecisionUnsafe},
		{"cut, resumable", Attempt{Failure: FailureCut, Idempotent: true, Resumable: true, Attempts: 1, Remaining: left}, DecisionRetry},
		{"attempts", Attempt{Failure: FailureRefused, Attempts: 3, Remaining: left}, DecisionAttempts},
		{"deadline", Attempt{Failure: FailureRefused, Attempts: 1, Remaining: left, MinRemaining: left}, DecisionDeadline},
	} {
		must.Eq(t, tc.want, Decide(tc.a), must.Sprint(tc.name))
	}
}

func TestBudgetLimitsRetriesToRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := Options{Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"), Burst: rapid.Float64Range(1, 20).Draw(t, "burst")}
		b := NewBudget(opts)
		first, retries := 0, 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if deposit {
				b.RecordFirstAttempt()
				first++
			} else if b.Withdraw() {
				retries++
			}
			must.LessEq(t, opts.Burst+opts.Ratio*float64(first)+1e-9, float64(retries))
		}
	})
}

func TestRetryAfterIsBoundedAndJittered(t *testing.T) {
	p := Pressure{Waiting: 100, Refused: 300, DonePerSecond: 50}
	must.Eq(t, 2*time.Second, RetryAfter(p, 0))
	must.Between(t, 7*time.Second, RetryAfter(p, 1<<64-1), 8*time.Second)
	must.Eq(t, MinRetryAfter, RetryAfter(Pressure{DonePerSecond: 1}, 0))
	must.LessEq(t, 2*MaxRetryAfter, RetryAfter(Pressure{Waiting: 1 << 40, Refused: 1 << 40}, 1<<64-1))
	var m Meter
	for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
		m.Add(at)
	}
	must.Between(t, 49, m.PerSecond(time.Minute), 51)
	must.Between(t, 18, m.PerSecond(time.Minute+10*time.Second), 19)
	must.LessEq(t, 3*time.Second, Jitter(time.Second, 3*time.Second, 60, 1<<64-1))
	must.Zero(t, Jitter(time.Second, 3*time.Second, 1, 0))
}
