package cli

import (
	"time"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/board"
)

// status returns the parts of the status page that both roles have.
func (p *process) status(incarnation string, inProgress int) admin.Status {
	s := admin.Status{
		Process:       p.settings.Host + "/" + string(p.role),
		Role:          string(p.role),
		Host:          p.settings.Host,
		FailureDomain: p.settings.FailureDomain,
		Address:       p.settings.Advertise,
		Incarnation:   incarnation,
		Build:         Version(),
		Started:       p.started,
		Drain:         admin.Drain{Draining: p.draining.Load(), InProgress: inProgress},
		Members:       p.members(),
	}
	if since := p.drainStartedAt.Load(); since != nil {
		s.Drain.Since = *since
	}
	if adopted := p.board.Configuration(); adopted != nil {
		s.Configuration = admin.Configuration{
			Version:     adopted.Config.Version,
			ChangeID:    adopted.Config.ChangeID,
			AdoptedAt:   time.Now().Add(adopted.At - p.board.Now()),
			AdoptedFrom: adopted.From,
		}
		if confirmed := p.configuration.Confirmed(); confirmed >= 0 {
			s.Configuration.ConfirmedSeconds = confirmed.Seconds()
		}
	}
	return s
}

func (p *process) members() []admin.Member {
	members := []admin.Member{}
	for _, h := range p.board.Hosts() {
		members = append(members, member(h))
	}
	return members
}

func member(h board.HostView) admin.Member {
	m := admin.Member{
		Host: h.Name, Role: string(h.Role), Service: h.Service, FailureDomain: h.FailureDomain,
		Address: h.Address, State: string(h.State), Source: string(board.OriginHostList),
		AgeSeconds: h.ListAge.Seconds(), ConfigVersion: h.ConfigVersion,
	}
	if h.Incarnation != "" && h.PeerAge < h.ListAge {
		m.Source, m.AgeSeconds = h.Name, h.PeerAge.Seconds()
	}
	switch {
	case h.Leaving:
		m.State = "leaving"
	case h.BackoffRemaining > 0:
		m.State = "held"
	}
	if h.Load != nil {
		m.InFlight = h.Load.InFlight
	}
	return m
}
