package agent

import (
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/wire"
)

// Revoke makes sure that a ticket that has not started never will. Its verdict
// tells whether the ticket has started or may have started.
func (s *Service) Revoke(args *wire.RequestArgs, reply *wire.RequestReply) (err error) {
	defer panics.RecoverError(s.agent.opts.Log, "agent.Revoke", &err)
	a := s.agent
	a.observeMeta(args.Meta)
	reply.Verdict = a.revoke(args)
	reply.Meta = a.Meta()
	counters.Add("revoked", 1)
	return nil
}

func (a *Agent) revoke(args *wire.RequestArgs) wire.Verdict {
	t, err := a.opts.Signer.Open(args.Ticket)
	if err != nil || t.Customer != args.Customer {
		return wire.VerdictUnknown
	}
	switch a.revokeTicket(t) {
	case ticket.DecisionNotRun:
		return wire.VerdictRevokedNotRun
	case ticket.DecisionKnown:
		return wire.VerdictKnown
	default:
		return wire.VerdictMayHaveRun
	}
}

func (a *Agent) revokeTicket(t ticket.Ticket) ticket.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Revoke(t)
}
