package agent

import (
	"time"

	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/wire"
	"github.com/cockroachdb/errors"
)

// maxReadWait is the longest time that one Read waits for a byte.
const maxReadWait = 5 * time.Second

// Service is the agent's net/rpc receiver. As net/rpc requires, its methods may
// be called concurrently. They return an error only if the call itself was
// malformed.
type Service struct {
	agent *Agent
}

// NewService returns the receiver for a.
func NewService(a *Agent) *Service {
	return &Service{agent: a}
}

// Meta returns the metadata that this process sends with every message.
func (a *Agent) Meta() wire.Meta {
	return wire.Meta{
		From:          a.opts.Host,
		Incarnation:   a.incarnation,
		ConfigVersion: a.opts.Board.ConfigVersion(),
		Clock:         a.opts.Timeline.Clock().Now(),
	}
}

// observeMeta updates the clock from the sender's clock and passes the sender's
// configuration version to Options.OnConfigVersion.
func (a *Agent) observeMeta(m wire.Meta) {
	a.opts.Timeline.Clock().Observe(m.Clock)
	a.opts.OnConfigVersion(m.From, m.ConfigVersion)
}

// Hello returns this agent's service, failure domain, drain state, open ticket
// window and load.
func (s *Service) Hello(args *wire.HelloArgs, reply *wire.HelloReply) (err error) {
	defer panics.RecoverError(s.agent.opts.Log, "agent.Hello", &err)
	a := s.agent
	a.observeMeta(args.Meta)
	*reply = wire.HelloReply{
		Meta:          a.Meta(),
		Service:       a.opts.Service,
		FailureDomain: a.opts.FailureDomain,
		Leaving:       a.leaving.Load(),
		Window:        a.Window(),
		Load:          a.limiter.load(),
	}
	return nil
}

// Submit decides whether a request is run, and starts it if so.
func (s *Service) Submit(args *wire.SubmitArgs, reply *wire.SubmitReply) (err error) {
	defer panics.RecoverError(s.agent.opts.Log, "agent.Submit", &err)
	a := s.agent
	a.observeMeta(args.Meta)
	v := a.submit(args)
	*reply = wire.SubmitReply{
		Meta:       a.Meta(),
		Verdict:    v.verdict,
		Reason:     v.reason,
		RetryAfter: v.retryAfter,
		Load:       a.limiter.load(),
	}
	return nil
}

// Read returns the next bytes of an answer.
func (s *Service) Read(args *wire.ReadArgs, reply *wire.ReadReply) (err error) {
	defer panics.RecoverError(s.agent.opts.Log, "agent.Read", &err)
	a := s.agent
	a.observeMeta(args.Meta)
	if args.Offset < 0 {
		return errors.Newf("agent: read from offset %d", args.Offset)
	}
	a.read(args, reply)
	reply.Meta = a.Meta()
	return nil
}

func (a *Agent) read(args *wire.ReadArgs, reply *wire.ReadReply) {
	reply.Request = args.Request
	reply.Offset = args.Offset
	if args.Holder != a.incarnation {
		reply.Verdict = wire.VerdictWrongIncarnation
		return
	}
	ans := a.answers.get(args.Request)
	if ans == nil || ans.customer != args.Customer {
		reply.Verdict = a.verdictWithoutAnswer(args)
		return
	}
	ans.read(args.Offset, min(args.Wait, maxReadWait), reply)
	if args.Begun {
		reply.Status, reply.Header = 0, nil
	}
}

// verdictWithoutAnswer returns the verdict on a request whose answer is not
// stored.
func (a *Agent) verdictWithoutAnswer(args *wire.ReadArgs) wire.Verdict {
	t, err := a.opts.Signer.Open(args.Ticket)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch a.ledger.Phase(args.Request) {
	case ticket.PhaseUnknown:
		if err == nil && a.ledger.Forgotten(t) {
			return wire.VerdictMayHaveRun
		}
		return wire.VerdictUnknown
	case ticket.PhasePending:
		return wire.VerdictKnown
	case ticket.PhaseNotRun:
		return wire.VerdictRefused
	default:
		return wire.VerdictMayHaveRun
	}
}

// Cancel stops an idempotent request and drops its answer. A ticketed request
// continues, because its outcome is recorded.
func (s *Service) Cancel(args *wire.RequestArgs, reply *wire.RequestReply) (err error) {
	defer panics.RecoverError(s.agent.opts.Log, "agent.Cancel", &err)
	a := s.agent
	a.observeMeta(args.Meta)
	reply.Meta = a.Meta()
	reply.Verdict = a.release(args, func(*answer) {})
	counters.Add("cancelled", 1)
	return nil
}

// Confirm acknowledges that a reader has received the complete answer. The
// answer to an idempotent request is dropped. The answer to a ticketed request
// is kept for repeated submissions, but no longer delays a graceful shutdown.
func (s *Service) Confirm(args *wire.RequestArgs, reply *wire.RequestReply) (err error) {
	defer panics.RecoverError(s.agent.opts.Log, "agent.Confirm", &err)
	a := s.agent
	a.observeMeta(args.Meta)
	reply.Meta = a.Meta()
	reply.Verdict = a.release(args, (*answer).confirm)
	return nil
}

// release drops the answer to an idempotent request. It keeps the answer to a
// ticketed request and passes it to keep.
func (a *Agent) release(args *wire.RequestArgs, keep func(*answer)) wire.Verdict {
	if args.Holder != "" && args.Holder != a.incarnation {
		return wire.VerdictWrongIncarnation
	}
	ans := a.answers.get(args.Request)
	if ans == nil || ans.customer != args.Customer {
		return wire.VerdictUnknown
	}
	if ans.ticketed {
		keep(ans)
	} else {
		a.answers.drop(args.Request)
	}
	return wire.VerdictKnown
}
