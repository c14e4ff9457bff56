package gateway

import (
	"fmt"
	"strings"
	"time"

	"dandelionrill.example/fleet/forward"
	"github.com/apex/log"
)

// requestFields provides the fields of the log line of one request.
type requestFields struct {
	req     *request
	end     end
	took    time.Duration
	catalog uint64 // revision of the catalog at the end of the request
	// How long ago configuration and upstreams were confirmed, at the end of the request.
	tableAge, catalogAge time.Duration
}

// Fields implements log.Fielder.
func (f requestFields) Fields() log.Fields {
	fields := log.Fields{
		"id":      f.req.AttemptID,
		"end":     endNames[f.end.kind],
		"ms":      f.took.Milliseconds(),
		"catalog": f.catalog,

		"config_age_ms":  f.tableAge.Milliseconds(),
		"catalog_age_ms": f.catalogAge.Milliseconds(),
	}
	if f.req.table != nil {
		fields["config"] = f.req.table.Version
	}
	if f.req.route != nil {
		fields["route"] = f.req.route.Name
		fields["service"] = f.req.service
	}
	if f.req.LastEventID != "" {
		fields["last_event"] = f.req.LastEventID
	}
	if f.req.Resumes != "" {
		fields["resumes"] = f.req.Resumes
	}
	if f.req.customer != nil {
		fields["customer"] = f.req.customer.Name
	}
	if f.end.reason != "" {
		fields["reason"] = f.end.reason
	}
	if f.end.cause != "" {
		fields["cause"] = f.end.cause
	}
	if f.req.retryDenied {
		fields["retry"] = "no budget"
	}
	if f.req.blockedBy != 0 {
		fields["blocked"] = formatPart(f.req.blockedBy)
	}
	if f.end.status != 0 {
		fields["status"] = f.end.status
	}
	if f.end.retryAfter > 0 {
		fields["retry_after_ms"] = f.end.retryAfter.Milliseconds()
	}
	if t := f.req.turn; t != nil && t.waited > 0 {
		fields["queue_ms"] = t.waited.Milliseconds()
	}
	if f.req.queueRefusal != "" {
		fields["queue"] = f.req.queueRefusal
	}
	if f.req.bodyRead > 0 {
		fields["body_ms"] = f.req.bodyRead.Milliseconds()
	}
	if f.req.drainElapsed > 0 {
		fields["drain_ms"] = f.req.drainElapsed.Milliseconds()
	}
	if f.req.firstByte > 0 {
		fields["first_ms"] = f.req.firstByte.Milliseconds()
	}
	if f.req.maxEventPause > 0 {
		fields["pause_ms"] = f.req.maxEventPause.Milliseconds()
	}
	if len(f.req.sends) > 0 {
		fields["sends"] = describeSends(f.req.sends, len(f.req.parts))
	}
	if f.req.brokeOff() {
		fields["fingerprint"] = formatPart(f.req.fingerprint(nil))
		if len(f.req.parts) > 0 {
			fields["parts"] = describeParts(f.req.Parts)
		}
	}
	return fields
}

// brokeOff reports whether an upstream broke off its answer to the request, or gave none.
func (req *request) brokeOff() bool {
	for _, s := range req.sends {
		if s.result == resultCut || s.result == forward.MayHaveRun.String() {
			return true
		}
	}
	return false
}

// describeParts formats the identifiers of a prompt's shared parts.
func describeParts(parts []PromptPart) string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts[:len(parts)-1] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// describeSends formats the sends of a request: upstream, its software version, its
// load when it was chosen, how many of the prompt's shared parts it had cached, the limit that it named, its failure rate in
// excess of its pool's, the predicted times of first event and end with the slowness that was
// expected, the upstream from which more of the prompt was fetched,
// how the end of the answer was found, the bytes of an incomplete event there, result,
// and duration.
func describeSends(sends []sendRecord, parts int) string {
	var b strings.Builder
	for i, s := range sends {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(s.upstream)
		if s.version != "" {
			b.WriteString(" version=" + s.version)
		}
		fmt.Fprintf(&b, " load=%d", s.load)
		if parts > 0 {
			fmt.Fprintf(&b, " held=%d/%d", s.cachedParts, parts)
		}
		if s.limit != "" {
			b.WriteString(" limit=" + s.limit)
		}
		if s.failureExcess > 0 {
			fmt.Fprintf(&b, " failing=%.2f", s.failureExcess)
		}
		if p := s.predicted; p != nil {
			fmt.Fprintf(&b, " predicted=%.0f/%.0fms slow=%.2f", p.prediction.FirstMs, p.prediction.EndMs, p.answer.Slowness*p.speed)
		}
		if s.fetchSource != "" {
			b.WriteString(" fetch=" + s.fetchSource)
		}
		if s.standby {
			b.WriteString(" standby")
		}
		if s.framing != 0 {
			b.WriteString(" framing=" + s.framing.String())
		}
		if s.partialEvent > 0 {
			fmt.Fprintf(&b, " partial_event=%d", s.partialEvent)
		}
		fmt.Fprintf(&b, " %s %dms", s.result, s.took.Milliseconds())
	}
	return b.String()
}
