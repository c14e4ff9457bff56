// Package retry decides whether a failed attempt is retried, limits retries to a
// share of the first attempts, and computes the Retry-After time for refused
// callers.
package retry

// Defaults of a Budget.
const (
	DefaultRatio = 0.1 // retries per first attempt
	DefaultBurst = 10  // most retries saved up
)

// Options configures a Budget.
type Options struct {
	Ratio float64 // retries earned by each first attempt; 0 means DefaultRatio
	Burst float64 // most retries saved up, and the initial number; 0 means DefaultBurst
}

// Budget is a token bucket that limits retries to a share of the first attempts
// of a service. It is not safe for concurrent use.
type Budget struct {
	opts  Options
	saved float64
}

// NewBudget returns a full budget.
func NewBudget(opts Options) *Budget {
	if opts.Ratio == 0 {
		opts.Ratio = DefaultRatio
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	return &Budget{opts: opts, saved: opts.Burst}
}

// SetBurst changes the most retries saved up and discards those beyond it.
func (b *Budget) SetBurst(burst float64) {
	b.opts.Burst = burst
	b.saved = min(b.saved, burst)
}

// RecordFirstAttempt records a first attempt, which earns Options.Ratio retries.
func (b *Budget) RecordFirstAttempt() {
	b.saved = min(b.opts.Burst, b.saved+b.opts.Ratio)
}

// Available reports whether a retry is available.
func (b *Budget) Available() bool { return b.saved >= 1 }

// Withdraw uses one retry, or returns false if none is available.
func (b *Budget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.saved--
	return true
}
