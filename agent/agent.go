// Package agent is the process beside one upstream. Every request to the
// upstream passes it, so what must be exact is decided here: the load bound,
// the rules, and that work which may not repeat runs at most once.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/decide/admit"
	"dandelionrill.example/fleet/decide/fair"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/randid"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

const (
	// RPCName is the name under which the agent's methods are served.
	RPCName = "Agent"

	janitorInterval = time.Second
	drainPoll       = 20 * time.Millisecond

	// loadFloor is the load that an upstream may always carry.
	loadFloor = 4
)

// Agent serves one upstream. All methods may be called concurrently.
type Agent struct {
	opts        Options
	incarnation string
	gate        *gate
	answers     *answers
	upstream    *upstream
	leaving     atomic.Bool
	submitted   atomic.Int64 // when the last submission came, on the gate's clock
	admitting   atomic.Int64 // submissions between the look at leaving and their answer's being kept

	mu     sync.Mutex // guards ledger
	ledger *ticket.Ledger
}

// New returns an agent with a fresh incarnation.
func New(opts Options) (*Agent, error) {
	opts = opts.withDefaults()
	if opts.Upstream == nil || opts.Signer == nil || opts.Board == nil {
		return nil, errors.New("agent: upstream, signer and board are required")
	}
	incarnation := opts.Incarnation
	if incarnation == "" {
		incarnation = randid.New()
	}
	a := &Agent{
		opts:        opts,
		incarnation: incarnation,
		answers:     newAnswers(opts.KeptAnswerBytes, opts.MaxAnswerBytes),
		upstream:    newUpstream(opts.Upstream),
	}
	a.ledger = ticket.NewLedger(ticket.Options{
		Incarnation: incarnation,
		Windows:     opts.Windows,
		MaxRecords:  opts.MaxRecords,
	})
	bound := admit.NewBound(admit.Options{Floor: loadFloor})
	queue := fair.NewQueue[*waiter](fair.Options{})
	a.gate = newGate(bound, queue, opts.MaxRunning, opts.MaxQueued)
	return a, nil
}

// Incarnation identifies this start of the process.
func (a *Agent) Incarnation() string {
	return a.incarnation
}

// Run serves routers until ctx ends, then stops gracefully: new work is
// refused, work under way runs to its end, and answers stay readable until
// they are confirmed or the drain time-out ends.
func (a *Agent) Run(ctx context.Context, server *link.Server) error {
	served := make(chan error, 1)
	go func() { served <- server.Serve(a.opts.Listener) }()
	janitor, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go a.keepHouse(janitor)
	select {
	case err := <-served:
		return errors.Wrap(err, "agent: serve")
	case <-ctx.Done():
	}
	a.drain()
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), janitorInterval)
	defer cancel()
	return errors.Wrap(server.Shutdown(shutdown), "agent: stop serving")
}

// Leave makes the agent refuse new work from now on.
func (a *Agent) Leave() {
	if a.leaving.Swap(true) {
		return
	}
	a.opts.Board.SetDrain(board.DrainDraining, board.OriginSelf)
	a.opts.Log.WithField("host", a.opts.Host).Info("leaving: new work is refused")
	a.opts.Timeline.Record(timeline.Event{Kind: timeline.KindDrainBegun})
}

// Leaving tells whether the agent refuses new work.
func (a *Agent) Leaving() bool {
	return a.leaving.Load()
}

// drain waits for work under way, for its readers, and for routers that still
// submit: what they send on a connection that closes at that moment would be
// lost, and they could not tell whether it ran.
func (a *Agent) drain() {
	a.Leave()
	a.submitted.Store(int64(a.gate.now()))
	deadline := time.Now().Add(a.opts.DrainTimeout)
	for time.Now().Before(deadline) {
		if a.drained() {
			return
		}
		time.Sleep(drainPoll)
	}
	counters.Add("drain_timeouts", 1)
}

func (a *Agent) drained() bool {
	quiet := a.gate.now() - time.Duration(a.submitted.Load())
	return quiet >= a.opts.DrainQuiet &&
		a.admitting.Load() == 0 &&
		a.answers.open() == 0 &&
		a.answers.awaited(a.opts.UnreadRetention) == 0
}

// keepHouse forgets old answers and opens ticket windows.
func (a *Agent) keepHouse(ctx context.Context) {
	tick := time.NewTicker(janitorInterval)
	defer tick.Stop()
	opened := time.Now()
	kept := retention{
		unread:   a.opts.UnreadRetention,
		recorded: time.Duration(a.opts.Windows) * a.opts.WindowDuration,
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, request := range a.answers.expired(now, kept) {
				a.answers.drop(request)
				counters.Add("answers_expired", 1)
			}
			if now.Sub(opened) >= a.opts.WindowDuration {
				opened = now
				a.advanceWindow()
			}
		}
	}
}

func (a *Agent) advanceWindow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Advance()
}

// ObserveMean takes a report of the mean load over replicas of the service,
// every part of which was true within age.
func (a *Agent) ObserveMean(mean float64, replicas int, age time.Duration) {
	a.gate.observeMean(mean, replicas, age)
}

// ObservePool takes the number of the service's upstreams on the host list.
func (a *Agent) ObservePool(replicas int) {
	a.gate.setPool(replicas)
}

// Demand returns the requests in progress on the upstream and those that wait.
func (a *Agent) Demand() int {
	load := a.gate.load()
	return load.InFlight + load.Queued
}

// Window returns the ticket window that is open.
func (a *Agent) Window() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Window()
}

// Load returns the load of the upstream.
func (a *Agent) Load() wire.Load {
	return a.gate.load()
}
