package gateway

import (
	"context"
	"slices"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/routing"
)

const (
	// CacheWait is how long a lookup waits for cache lists that are read again: for the next read of
	// a list, and a few round trips.
	CacheWait = cacheListInterval + 50*time.Millisecond
	// confirmWait is how long a request waits for the newest list of upstreams if other routers can
	// tell instead.
	confirmWait = 100 * time.Millisecond
	// recordsWait is how long a lookup waits for the records of other routers before lists are read,
	// which costs the engines more than the answers of a few routers that are late are worth.
	recordsWait = 75 * time.Millisecond
	// peersWait is how long a lookup waits for what other routers read if it can read engines itself
	// instead of those that do not answer.
	peersWait = 150 * time.Millisecond
)

// StreamQuery asks for the version that began a stream.
type StreamQuery struct {
	Attempt  uint64   // StreamKey of the attempt that brought its first event; 0 if it is not named
	Part     uint64   // key of the last part of its prompt; 0: cache lists do not matter
	Services []string // whose upstreams can have begun it; what is known of those that left is asked for
	// Fingerprint is that of its request; 0 if records of equal requests do not matter. Such a
	// record tells the version if no cache list does, as after the end of the upstream.
	Fingerprint uint64
}

// StreamAnswer is what other routers know of a stream.
type StreamAnswer struct {
	Version  uint32 // short hash of the version that began the stream, if that is recorded
	Known    bool
	Holders  CacheAnswer // of the part
	Equal    []uint32    // recorded for the fingerprint of its request
	Complete bool        // one of those in Equal is by a router that lacks no record
	Older    bool        // a router that runs longer than this one lacks records, as far as is known
	Asked    int         // routers that were asked
	Answered int         // routers that answered
}

// add adds the answer to a later question.
func (a *StreamAnswer) add(later StreamAnswer) {
	holders := a.Holders
	holders.Add(later.Holders)
	later.Holders = holders
	later.Equal = append(later.Equal, a.Equal...)
	later.Older = later.Older || a.Older
	later.Asked, later.Answered = max(later.Asked, a.Asked), max(later.Answered, a.Answered)
	*a = later
}

// CacheAnswer is what cache lists tell of prompt parts.
type CacheAnswer struct {
	// Parts and Versions are parallel: an upstream of the version lists the part.
	Parts    []uint64
	Versions []uint32
	// Read are the short hashes of the keys of the upstreams whose lists were read after the
	// lookup began. Earlier lists do not show where a stream has not begun.
	Read []uint32
	// Left are the upstreams of the services that were listed within StreamMaxAge and are not
	// listed any more. KnowsPast is true if it holds those of before the start of the router too.
	Left      []PastUpstream
	KnowsPast bool
	// Sessions is true if callers of one of the services have sessions.
	Sessions bool
}

// Add adds what another answer tells.
func (a *CacheAnswer) Add(other CacheAnswer) {
	n := min(len(other.Parts), len(other.Versions))
	a.Parts, a.Versions = append(a.Parts, other.Parts[:n]...), append(a.Versions, other.Versions[:n]...)
	a.Read = append(a.Read, other.Read...)
	a.Left = append(a.Left, other.Left...)
	a.KnowsPast = a.KnowsPast || other.KnowsPast
	a.Sessions = a.Sessions || other.Sessions
}

// versionsOf returns the versions of the upstreams that list a part, each once.
func (a *CacheAnswer) versionsOf(part uint64) []uint32 {
	var versions []uint32
	for i, p := range a.Parts {
		if p == part && !slices.Contains(versions, a.Versions[i]) {
			versions = append(versions, a.Versions[i])
		}
	}
	return versions
}

// LookUpCaches returns what the cache lists that this router reads tell of prompt parts of
// the services. All are read again first; those that have not arrived when ctx ends are left out
// of Read. Without parts nothing is read, and the answer is what is known of upstreams that left.
func (g *Gateway) LookUpCaches(ctx context.Context, services []string, parts []uint64) CacheAnswer {
	began := time.Now()
	var own []*catalog.Upstream
	holder, known := g.onlyHolder(services, parts)
	reads := func(*catalog.Upstream) bool { return true }
	if g.opts.CacheShare != nil {
		reads = g.opts.CacheShare()
	}
	for _, u := range g.promptUpstreams() {
		if len(parts) > 0 && slices.Contains(services, u.Service) && !(known && u.VersionSum == holder) && reads(u) {
			own = append(own, u)
		}
	}
	g.readLists(ctx, own, began, nil)
	return g.cacheAnswer(began, services, parts)
}

// onlyHolder returns the only version whose upstreams list the parts, by earlier lists. Its own lists tell
// nothing more: only whether another one lists them too matters.
func (g *Gateway) onlyHolder(services []string, parts []uint64) (version uint32, ok bool) {
	for i, part := range parts {
		versions := g.caches.Holders(part, services)
		if len(versions) != 1 || i > 0 && versions[0] != version {
			return 0, false
		}
		version = versions[0]
	}
	return version, len(parts) > 0
}

// cacheAnswer returns what the cache lists that this router has read tell of prompt parts.
// asked is the time of the lookup: a stream may have begun at an upstream until then, so that a
// list shows only what was there when it was read.
func (g *Gateway) cacheAnswer(asked time.Time, services []string, parts []uint64) CacheAnswer {
	var a CacheAnswer
	for _, part := range parts {
		for _, version := range g.caches.Holders(part, services) {
			a.Parts, a.Versions = append(a.Parts, part), append(a.Versions, version)
		}
	}
	for _, u := range g.promptUpstreams() {
		if slices.Contains(services, u.Service) && g.caches.Read(u.Key(), asked) {
			a.Read = append(a.Read, u.Key().Sum())
		}
	}
	current := g.catalog.Load()
	a.Read = append(a.Read, g.caches.ReadOfUnlisted(services, lists(current), asked)...)
	a.Left = g.versions.Left(services, current)
	a.Sessions = g.sessions.Any(services)
	a.KnowsPast = g.opts.StreamsRestored() || g.versions.Covers()
	return a
}

// cacheQuery returns the last part of a request's prompt and the services whose engines may
// list it; the part is 0 if none can.
func (g *Gateway) cacheQuery(req *request) (part uint64, services []string) {
	if len(req.Parts) == 0 || !req.route.NamesPromptParts {
		return 0, nil
	}
	return partKey(req.Model, req.Parts[len(req.Parts)-1].ID), servicesOf(req.route)
}

// servicesOf returns the services of a route, also those without weight: they can have begun
// streams.
func servicesOf(route *routing.Route) []string {
	services := make([]string, 0, len(route.Shares))
	for _, share := range route.Shares {
		services = append(services, share.Service)
	}
	return services
}

// unread returns the listed upstreams of the services whose cache lists are not among those
// read, and the number of all.
func (g *Gateway) unread(services []string, read []uint32) (missing []*catalog.Upstream, all int) {
	current := g.catalog.Load()
	read = slices.Sorted(slices.Values(read)) // large fleets have more than a thousand
	for _, service := range services {
		for _, u := range current.Service(service) {
			if all++; !containsSorted(read, u.Key().Sum()) {
				missing = append(missing, u)
			}
		}
	}
	return missing, all
}

func containsSorted(sums []uint32, sum uint32) bool {
	_, found := slices.BinarySearch(sums, sum)
	return found
}

// lookup is the result of asking other routers and engines for the version of a stream.
type lookup struct {
	version uint32
	result  string // empty: it is not known
	// For the log.
	took            time.Duration
	asked, answered int  // routers
	versions        int  // whose upstreams list the part, or that records name
	unread, listed  int  // upstreams of the services
	others          int  // upstreams of other versions than the one found that can have begun the stream too
	knowsPast       bool // a router knows the upstreams that have left
	missing         missingKnowledge
}

// missingKnowledge is what would have told the version of a stream whose lookup did not.
type missingKnowledge string

// What can be missing, as logged and counted.
const (
	missingRecord     missingKnowledge = "record"      // lists name several versions, and no record says which
	missingAgreement  missingKnowledge = "agreement"   // records and lists name different versions
	missingOneVersion missingKnowledge = "one-version" // equal requests began at several
	missingHolder     missingKnowledge = "holder"      // no record, and all lists were read without the part
	missingLists      missingKnowledge = "lists"       // no record, and lists that may have the part were not read
	missingOthers     missingKnowledge = "others"      // the lists of other versions that can have begun it too
	missingPast       missingKnowledge = "past"        // no router knows which upstreams have left
	missingNewestList missingKnowledge = "newest-list" // nobody confirms that the list of upstreams is the newest one
)

// explain sets what is missing, by the versions of lists and records. current is true if the list
// of upstreams is the newest one.
func (l *lookup) explain(listing, recorded []uint32, current bool) {
	switch {
	case l.result == resumedAmbiguous && slices.Contains(recorded, SeveralVersions):
		l.missing = missingOneVersion
	case l.result == resumedAmbiguous && len(recorded) == 0:
		l.missing = missingRecord
	case l.result == resumedAmbiguous:
		l.missing = missingAgreement
	case l.result == resumedNotHeld:
		l.missing = missingHolder
	case l.result != "":
	case len(listing) == 0 && len(recorded) == 0:
		l.missing = missingLists
	case l.others > 0:
		l.missing = missingOthers
	case !l.knowsPast:
		l.missing = missingPast
	case !current:
		l.missing = missingNewestList
	}
}

// lookUp asks other routers for the version that began a stream, and if none has a record that
// tells it, for the upstreams that list the last part of its prompt. This part belongs to the
// request or its session, so that the upstream that began the stream is one of these. Lists
// that neither this router nor another one has read are read here, as far as ctx allows.
func (g *Gateway) lookUp(ctx context.Context, q StreamQuery) lookup {
	began := time.Now()
	g.opts.AwaitStreams(ctx)
	confirmed := make(chan bool, 1)
	records, wait := q, lookupWait
	if q.Part != 0 {
		go func() { confirmed <- g.confirmUpstreams(ctx, lookupWait) }()
		records.Part, wait = 0, recordsWait
	}
	answer := g.askOthers(ctx, records, wait)
	l := lookup{asked: answer.Asked, answered: answer.Answered}
	if g.decideByRecords(&l, &answer, &q) {
		return l
	}
	if q.Attempt == 0 { // no record can arrive that tells more
		listing, recorded := g.caches.Holders(q.Part, q.Services), g.addEqual(&answer, q.Fingerprint)
		if l.decide(listing, recorded); l.result == resumedAmbiguous {
			l.explain(listing, recorded, false)
			return l
		}
		l.version, l.result = 0, ""
	}
	own := make(chan CacheAnswer, 1)
	go func() {
		readCtx, cancel := context.WithTimeout(ctx, CacheWait)
		defer cancel()
		own <- g.LookUpCaches(readCtx, q.Services, []uint64{q.Part})
	}()
	answer.add(g.askOthers(ctx, q, peersWait))
	l.answered = max(l.answered, answer.Answered)
	if answer.Known || answer.Complete { // a record has come meanwhile
		g.decideByRecords(&l, &answer, &q)
		return l
	}
	g.decideByLists(ctx, &l, &listLookup{query: q, began: began, answer: answer, own: <-own, confirmed: confirmed})
	return l
}

// askOthers asks other routers for a time.
func (g *Gateway) askOthers(ctx context.Context, q StreamQuery, wait time.Duration) StreamAnswer {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return g.opts.LookUpStream(ctx, q)
}

// decideByRecords sets the version by the records of other routers, and reports whether that ends the
// lookup: they tell it, or there is nothing else to ask for.
func (g *Gateway) decideByRecords(l *lookup, answer *StreamAnswer, q *StreamQuery) bool {
	switch {
	case answer.Known:
		l.version, l.result = answer.Version, resumedAwaited
	case answer.Complete:
		recorded := g.addEqual(answer, q.Fingerprint)
		l.decide(nil, recorded)
		l.explain(nil, recorded, true)
	case q.Part == 0:
		l.decide(nil, g.addEqual(answer, q.Fingerprint))
		if l.result == resumedSameRequest && !g.hearsOthers(l) {
			l.result, l.missing = "", missingNewestList // the stream may have begun at a version that is not listed here
		}
	default:
		return false
	}
	return true
}

// decide sets the version by those whose upstreams list the last part of the prompt, and those
// of the records of equal requests. They must not contradict each other.
func (l *lookup) decide(listing, recorded []uint32) {
	versions := slices.Clone(listing)
	for _, version := range recorded {
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	switch l.versions = len(versions); {
	case slices.Contains(recorded, SeveralVersions) || len(versions) > 1:
		l.result = resumedAmbiguous
	case len(listing) == 1:
		l.version, l.result = versions[0], resumedCached
	case len(versions) == 1:
		l.version, l.result = versions[0], resumedSameRequest
	}
}

// addEqual adds this router's record of an equal request to those of the others, and returns
// all.
func (g *Gateway) addEqual(answer *StreamAnswer, fingerprint uint64) []uint32 {
	if fingerprint != 0 {
		if version, known := g.streams.Version(fingerprint); known {
			answer.Equal = append(answer.Equal, version)
		}
	}
	return answer.Equal
}

// hearsOthers reports whether other routers answered a lookup, or there are none. They tell
// this router at once of upstreams that are new.
func (g *Gateway) hearsOthers(l *lookup) bool {
	return l.answered > 0 || g.routerCount.Load() == 1
}
