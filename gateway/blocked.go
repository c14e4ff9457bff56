package gateway

import (
	"net"
	"strconv"
	"time"

	"dandelionrill.example/fleet/forward"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// answeringTime is how long after its first event a stream must go on to count as
	// being answered: an upstream that a part crashes ends as it begins to write.
	answeringTime = 500 * time.Millisecond
	// retryAfterBlocked is the Retry-After of a request that crashes upstreams.
	retryAfterBlocked = 30 * time.Second
	// reasonBlockedPart and reasonBlockedRequest are the reasons of its refusal.
	reasonBlockedPart    = "a part of the prompt crashes upstreams"
	reasonBlockedRequest = "the request crashes upstreams"
)

// Crashes returns the record of the requests and prompt parts with which upstreams have ended.
func (g *Gateway) Crashes() *Crashes { return g.crashes }

// partIDs returns the identifiers of the prompt's shared parts. The last part belongs to
// the request alone.
func partIDs(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		ids = append(ids, PartID(part.ID))
	}
	return ids
}

// refusesBlocked returns the refusal of a request if it, or one of its parts, crashes upstreams.
func (g *Gateway) refusesBlocked(req *request) (e end, refuses bool) {
	id, blocked := g.blockedBy(req)
	if !blocked {
		return end{}, false
	}
	refuse, mayTry := g.crashes.RecordRefused(req.ids...)
	if refuse && mayTry && g.opts.PermitTrial(req.http.Context()) {
		g.crashes.RecordTrial(req.ids...)
		refuse = false
	}
	if !refuse {
		req.trial = true
		g.opts.Log.WithFields(log.Fields{"id": req.AttemptID, blockedField(id): formatPart(id)}).Info("blocked request let through")
		return end{}, false
	}
	g.metrics.blockedRequests.Add(1)
	return req.refuseBlocked(id), true
}

// refuseBlocked returns the refusal of a request that is blocked by what has the identifier.
func (req *request) refuseBlocked(id uint64) end {
	req.blockedBy = id
	if isFingerprint(id) {
		return refused(reasonBlockedRequest, retryAfterBlocked)
	}
	return refused(reasonBlockedPart, retryAfterBlocked)
}

// blockedBy returns what a request must not be sent to an upstream any more for, if there is
// such a part.
func (g *Gateway) blockedBy(req *request) (id uint64, blocked bool) {
	if req.trial || !g.crashes.Any() {
		return 0, false
	}
	return g.crashes.Blocked(req.ids)
}

// blockedField returns the name of the log field for what is blocked.
func blockedField(id uint64) string {
	if isFingerprint(id) {
		return "fingerprint"
	}
	return "part"
}

// formatPart formats the identifier of a request or a part for logs.
func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// recordBrokenOff records that an upstream closed or reset the connection of a request,
// unless the request was being answered by then. An upstream that no longer sends anything
// was not ended by a part, but with its host or network.
func (g *Gateway) recordBrokenOff(req *request, s *send, err error) {
	var network net.Error
	if req.answering.Load() || errors.As(err, &network) && network.Timeout() {
		return
	}
	g.crashes.RecordCrash(s.key().Sum(), req.ids)
}

// recordAnswering records that a request is being answered, or was answered. An answer whose end
// is only that of its connection proves nothing by its end alone.
func (g *Gateway) recordAnswering(req *request, s *send, ended bool) {
	proven := ended && s.record.framing != forward.FramingClose ||
		!s.firstDelivered.IsZero() && time.Since(s.firstDelivered) >= answeringTime
	switch {
	case proven && !req.answering.Swap(true):
		g.crashes.RecordAnswered(req.ids)
	case ended && !proven:
		g.recordEnded(req, s)
	}
}

// CheckBlockedParts blocks and releases requests and prompt parts by what is known now, and
// logs the changes. It is to be called a few times a second, from one goroutine at a time.
func (g *Gateway) CheckBlockedParts() {
	g.crashes.Tick()
	current := make(map[uint64]bool)
	for _, part := range g.crashes.BlockedParts() {
		current[part] = true
		if !g.loggedBlocked[part] {
			message := "prompt part crashes upstreams; requests with it are refused"
			if isFingerprint(part) {
				message = "request crashes upstreams; it is refused"
			}
			g.opts.Log.WithFields(log.Fields{blockedField(part): formatPart(part), "upstreams": g.crashes.Count(part)}).Warn(message)
		}
	}
	for part := range g.loggedBlocked {
		if !current[part] {
			g.opts.Log.WithField(blockedField(part), formatPart(part)).Info("no longer blocked, since it does not crash upstreams, or did not come for long")
		}
	}
	g.loggedBlocked = current
	g.metrics.blockedParts.Set(int64(len(current)))
}
