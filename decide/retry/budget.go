// Package retry decides whether an attempt that failed is made again, limits
// retries to a share of the first attempts, and computes when a refused caller
// should come back.
package retry

// Defaults of a Budget.
const (
	DefaultRatio = 0.1 // retries per first attempt
	DefaultBurst = 10  // retries saved up
)

// Options configures a Budget.
type Options struct {
	Ratio float64 // retries earned by each first attempt; 0 means DefaultRatio
	Burst float64 // most retries saved up, and those held at the start; 0 means DefaultBurst
}

// Budget holds retries to a share of the first attempts of a service. It is
// not safe for concurrent use.
type Budget struct {
	opts   Options
	credit float64
}

// NewBudget returns a full budget.
func NewBudget(opts Options) *Budget {
	if opts.Ratio == 0 {
		opts.Ratio = DefaultRatio
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	return &Budget{opts: opts, credit: opts.Burst}
}

// SetBurst changes the most retries saved up. Those beyond it are lost.
func (b *Budget) SetBurst(burst float64) {
	b.opts.Burst = burst
	b.credit = min(b.credit, burst)
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.credit = min(b.opts.Burst, b.credit+b.opts.Ratio)
}

// Left tells whether a retry is left.
func (b *Budget) Left() bool { return b.credit >= 1 }

// Withdraw takes one retry, or returns false if none is left.
func (b *Budget) Withdraw() bool {
	if !b.Left() {
		return false
	}
	b.credit--
	return true
}
