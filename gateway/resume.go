package gateway

import (
	"context"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
)

const (
	// streamWait is how long a request waits until the version that began its stream is
	// known.
	streamWait = 300 * time.Millisecond
	// lookupWait is the part of streamWait in which other routers and engines are asked. The
	// rest is for the decision on busy hosts.
	lookupWait = 275 * time.Millisecond
	// streamPollInterval is the time between two looks at the records meanwhile.
	streamPollInterval = 10 * time.Millisecond
)

// Results of finding the version of a stream that a caller takes up, as counted.
const (
	resumedKnown       = "known"
	resumedOnlyVersion = "only-version"
	resumedAwaited     = "awaited"
	resumedCached      = "cached"       // by the upstreams that list its prompt
	resumedSameRequest = "same-request" // by the record of an equal request
	resumedUnknown     = "unknown"      // refused
	resumedAmbiguous   = "ambiguous"    // refused: several versions, by lists and equal requests
	resumedNotHeld     = "not-held"     // refused: no upstream lists its prompt
	resumedVersionGone = "version-gone" // refused, in addition to one of the above
)

// resumeRefusal is a refusal by the result of finding the version.
type resumeRefusal struct {
	reason     string
	retryAfter time.Duration
}

// resumeRefusals are the refusals by result. Lists that were read, and records, change less soon
// than what is not known yet.
var resumeRefusals = map[string]resumeRefusal{
	resumedUnknown:   {"the version that began the stream is not known", retryAfterShort},
	resumedAmbiguous: {"several versions can have begun the stream", retryAfterUnknown},
	resumedNotHeld:   {"no upstream lists the prompt of the stream", retryAfterUnknown},
}

// streamKey returns the key under which the version of a request's stream is recorded.
func (req *request) streamKey() uint64 {
	if req.Resumes != "" {
		return StreamKey(req.Resumes)
	}
	return StreamKey(req.AttemptID)
}

// resumable reports whether callers can take up the stream of a request.
func (req *request) resumable() bool { return req.route.IsStream() && req.route.Resumable }

// takesUp reports whether a request takes up the stream of an earlier attempt.
func (req *request) takesUp() bool {
	return req.resumable() && (req.LastEventID != "" || req.Resumes != "")
}

// bindVersion binds a stream to the version of the upstream whose first event is about to be
// delivered, and records it for the caller's further attempts, here and at other routers. It returns
// false if ctx ends before these know it.
func (g *Gateway) bindVersion(ctx context.Context, req *request, u *catalog.Upstream) (told bool) {
	req.version = boundVersion{sum: u.VersionSum, bound: true}
	g.renewStream(req, u)
	if part, _ := g.cacheQuery(req); part != 0 && req.resumable() {
		g.sessions.Record(u.Service, part, req.fingerprint(req.Parts))
	}
	if !req.resumable() || !g.promisesToTell() && !g.severalServe(req.route) {
		return true
	}
	return g.tellStream(ctx, req, u)
}

// tellStream tells other routers of a stream whose first event is about to be delivered: by its
// attempt, and by its request if that has a prompt, which then chooses the routers.
func (g *Gateway) tellStream(ctx context.Context, req *request, u *catalog.Upstream) (told bool) {
	records := []Stream{{Attempt: req.streamKey(), Version: u.VersionSum}}
	if part, _ := g.cacheQuery(req); part != 0 {
		fingerprint := req.fingerprint(req.Parts)
		version, known := g.streams.Version(fingerprint) // of equal requests too
		if !known {
			version = u.VersionSum
		}
		records = append(records, Stream{Attempt: fingerprint, Version: version})
	}
	return g.opts.TellStreams(ctx, records[len(records)-1].Attempt, records)
}

// tellTime is how long streams are told of after TellsStreams was last true. It is longer than other
// routers rely on that.
const tellTime = 2 * time.Second

// TellsStreams reports whether streams of routes that name prompt parts can begin at several
// versions or services. For tellTime from then on, other routers are told of each stream.
func (g *Gateway) TellsStreams() bool {
	table := g.table.Load()
	if table == nil || !g.SeveralVersions() && !table.SplitsPrompted() {
		return false
	}
	g.tellsUntil.Store(int64(time.Since(g.started) + tellTime))
	return true
}

// promisesToTell reports whether TellsStreams was true within tellTime.
func (g *Gateway) promisesToTell() bool {
	return time.Since(g.started) < time.Duration(g.tellsUntil.Load())
}

// severalServe reports whether streams of a route can begin at several versions or services.
func (g *Gateway) severalServe(route *routing.Route) bool {
	current := g.catalog.Load()
	return len(route.Shares) > 1 || slices.ContainsFunc(route.Shares, func(s routing.Share) bool {
		return g.versions.Several(s.Service, current.Service(s.Service))
	})
}

// renewStream renews the record of a stream of which events were delivered.
func (g *Gateway) renewStream(req *request, u *catalog.Upstream) {
	if req.resumable() {
		g.streams.Record(Stream{Attempt: req.streamKey(), Version: u.VersionSum}, OriginOwn)
		if part, _ := g.cacheQuery(req); part != 0 {
			g.streams.Record(Stream{Attempt: req.fingerprint(req.Parts), Version: u.VersionSum}, OriginOwn)
		}
	}
}

// bindResumed binds a request that takes up a stream to the version that began it. If
// that is not known, the request is refused.
func (g *Gateway) bindResumed(ctx context.Context, req *request) (end, bool) {
	if !req.takesUp() {
		return end{}, true
	}
	sum, result := g.findVersion(ctx, req)
	g.metrics.resumed.Add(result, 1)
	if refusal, refuses := resumeRefusals[result]; refuses {
		return refused(refusal.reason, refusal.retryAfter), false
	}
	req.version = boundVersion{sum: sum, bound: true}
	if service, ok := g.serviceOfVersion(req.route, sum); ok {
		req.service = service
	}
	return end{}, true
}

// serviceOfVersion returns the service of a route that has a version, by the version's short
// hash: it is the one that began the stream, also if weights have changed since.
func (g *Gateway) serviceOfVersion(route *routing.Route, sum uint32) (service string, ok bool) {
	upstreams := g.catalog.Load()
	for _, share := range route.Shares {
		if share.Weight <= 0 && len(route.Shares) > 1 {
			continue // gets no requests any more
		}
		if slices.ContainsFunc(upstreams.Service(share.Service), func(u *catalog.Upstream) bool { return u.VersionSum == sum }) {
			return share.Service, true
		}
	}
	return "", false
}

// findVersion returns the version that began the stream that a request takes up.
func (g *Gateway) findVersion(ctx context.Context, req *request) (sum uint32, result string) {
	if req.Resumes != "" {
		if sum, known := g.streams.Version(req.streamKey()); known {
			return sum, resumedKnown
		}
	}
	if found := g.recordedVersion(req); found.result != "" {
		g.logLookup(req, &found)
		return found.version, found.result
	}
	only, hasOnly := g.onlyVersion(req)
	confirmed := false
	if hasOnly {
		// The stream began before this request came: a list from before may lack its version.
		confirmed = g.confirmUpstreams(ctx, confirmWait)
		only, hasOnly = g.onlyVersion(req)
	}
	query := g.streamQuery(req, hasOnly, confirmed)
	if query.Attempt == 0 && query.Fingerprint == 0 { // there is nothing to ask for
		if hasOnly && confirmed {
			return only, resumedOnlyVersion
		}
		return 0, resumedUnknown
	}
	found := g.awaitVersion(ctx, req.AttemptID, query, hasOnly)
	if found.result == "" {
		found.result = resumedUnknown
		if hasOnly && (confirmed || g.hearsOthers(&found)) {
			found.version, found.result = only, resumedOnlyVersion
		}
	}
	if _, refuses := resumeRefusals[found.result]; !refuses {
		found.missing = ""
	} else if found.missing != "" {
		g.metrics.resumedMissing.Add(string(found.missing), 1)
	}
	g.logLookup(req, &found)
	return found.version, found.result
}

// recordedVersion returns the version at which equal requests have begun, if this router knows of all
// streams that callers can take up: then the record is that of the stream, or of one of the same version.
func (g *Gateway) recordedVersion(req *request) (found lookup) {
	if part, _ := g.cacheQuery(req); part == 0 || !g.opts.StreamsComplete() {
		return found
	}
	switch version, known := g.streams.Version(req.fingerprint(req.Parts)); {
	case !known:
	case version == SeveralVersions:
		found.result, found.missing = resumedAmbiguous, missingOneVersion
		g.metrics.resumedMissing.Add(string(missingOneVersion), 1)
	default:
		found.version, found.result = version, resumedSameRequest
	}
	return found
}

// confirmUpstreams reports whether the list of upstreams is the newest one of a moment after
// the call. It returns false if that is not known after a time.
func (g *Gateway) confirmUpstreams(ctx context.Context, wait time.Duration) (ok bool) {
	defer g.recoverPanic("confirmation", "")
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return g.opts.ConfirmUpstreams(ctx)
}

// streamQuery returns what to ask for the stream that a request takes up; it is zero if nothing
// needs to be asked. hasOnly is true if its service has one version, by a list that is the
// newest one if confirmed is true.
func (g *Gateway) streamQuery(req *request, hasOnly, confirmed bool) StreamQuery {
	var q StreamQuery
	if req.Resumes != "" {
		q.Attempt = req.streamKey()
	}
	part, services := g.cacheQuery(req)
	if part == 0 || hasOnly && confirmed {
		return q
	}
	q.Fingerprint = req.fingerprint(req.Parts)
	if !hasOnly {
		q.Part, q.Services = part, services
	}
	return q
}

// logLookup logs that a request waited for the version of its stream.
func (g *Gateway) logLookup(req *request, l *lookup) {
	g.opts.Log.WithFields(log.Fields{
		"id": req.AttemptID, "resumes": req.Resumes, "result": l.result, "ms": l.took.Milliseconds(),
		"routers_asked": l.asked, "routers_answered": l.answered, "versions": l.versions, "upstreams": l.listed, "unread": l.unread,
		"others": l.others, "knows_past": l.knowsPast, "missing": string(l.missing),
	}).Info("version of a stream looked up")
}

// onlyVersion returns the version of the services that can have begun the stream of a request if
// they have only one, and nothing tells that it began elsewhere. A router whose list of upstreams
// was not confirmed recently may have missed another one.
func (g *Gateway) onlyVersion(req *request) (sum uint32, ok bool) {
	if _, age := g.opts.ConfirmationAges(); age > maxConfirmationAge {
		return 0, false
	}
	services := []string{req.service}
	if req.Resumes == "" {
		services = servicesOf(req.route) // the attempt that chose the service is not known
	}
	sum, ok = g.versions.Only(services, g.catalog.Load())
	if !ok {
		return 0, false
	}
	if part, _ := g.cacheQuery(req); part != 0 {
		recorded, known := g.streams.Version(req.fingerprint(req.Parts))
		ok = !known || recorded == sum
	}
	return sum, ok
}

// awaitVersion waits, for the request with attemptID, until the record of its stream arrives,
// and asks other routers and engines for its version. If untilAsked is true, it waits no
// longer than for their answers.
func (g *Gateway) awaitVersion(ctx context.Context, attemptID string, query StreamQuery, untilAsked bool) (found lookup) {
	began := time.Now()
	defer func() { found.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(ctx, streamWait)
	defer cancel()
	answers := make(chan lookup, 1)
	go func() {
		var answer lookup
		defer func() { answers <- answer }() // also after a panic: the request waits for it
		defer g.recoverPanic("lookup", attemptID)
		lookupCtx, cancel := context.WithTimeout(ctx, lookupWait)
		defer cancel()
		answer = g.lookUp(lookupCtx, query)
	}()
	ticker := time.NewTicker(streamPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if answers != nil {
				found = <-answers // its time has ended before; on a busy host it comes late
				g.preferRecord(&found, query.Attempt)
			}
			return found
		case found = <-answers:
			answers = nil
			g.preferRecord(&found, query.Attempt)
			if found.result != "" || untilAsked || query.Attempt == 0 {
				return found // without an attempt, no record can arrive that tells more
			}
		case <-ticker.C:
			if g.preferRecord(&found, query.Attempt); found.result != "" {
				return found
			}
		}
	}
}

// preferRecord replaces the result of a lookup by the record of the stream, if that has
// arrived.
func (g *Gateway) preferRecord(l *lookup, attempt uint64) {
	if attempt == 0 {
		return
	}
	if version, known := g.streams.Version(attempt); known {
		l.version, l.result = version, resumedAwaited
	}
}

// versionGone returns the end of a request that takes up a stream whose version has no
// upstream to choose.
func (g *Gateway) versionGone(req *request) end {
	g.metrics.resumed.Add(resumedVersionGone, 1)
	return g.refuse(req, "no upstream of the version that began the stream is available", retryAfterShort)
}
