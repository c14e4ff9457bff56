package gossip

import (
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/cover"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
)

// Report is the state that a router sends to a peer. It is sent many times a
// second, so its size matters. Routers of earlier versions leave out the fields from
// Era on.
type Report struct {
	Router  string
	Address string       // of the router's listener for other routers
	Stamps  []feed.Stamp // in the order of Options.Feeds
	// Upstreams and Requests are the router's requests in progress, as parallel
	// slices. Upstreams holds short hashes of the upstreams' keys. They are empty if
	// the report is that of a failure domain.
	Upstreams []uint32
	Requests  []uint
	// Answered and Tallies are the failure counts of the upstreams that answered
	// recently, as parallel slices. Answered holds the same kind of hashes.
	Answered []uint32
	Tallies  []gateway.Tally
	// NewsAfter is the sequence number after which the router wants the peer's
	// prompt placements.
	NewsAfter uint64
	// News holds prompt placements that the sender made itself, or those made in its
	// failure domain if the report is that of a domain. NewsNext is the value of
	// NewsAfter that asks for the placements after them.
	News     []gateway.Placement
	NewsNext uint64
	// Era is the newest era of the store that the router knows of; 0 if none.
	Era uint64
	// EraAge is how long ago that era began as far as the router knows; 0 if it has
	// not seen the store return from a copy.
	EraAge time.Duration
	// Configuration is the version of the configuration in force.
	Configuration uint64
	// Domain is the failure domain of the router.
	Domain string
	// OfDomain says that the report is that of the router's failure domain, whose sum
	// is the only element of Sums.
	OfDomain bool
	// Sums are the reports of failure domains: of others, if the router passes them
	// on in its own.
	Sums []DomainSum
	// Compact says that the router reads placements of the compact form, which then
	// replace those in News: Made are those that News would hold, and Relayed those made
	// in other failure domains that the router passes on in its own.
	Compact bool
	Made    Placements
	Relayed Placements
	// StreamsAfter is the sequence number after which the router wants the peer's records
	// of the versions that began streams; 0 asks for those of all origins. Streams and
	// StreamsRelayed are such records, as Made and Relayed are placements, and StreamsNext
	// is the value of StreamsAfter that asks for the records after them.
	StreamsAfter   uint64
	Streams        StreamRecords
	StreamsRelayed StreamRecords
	StreamsNext    uint64
	// Leaving are the upstreams that said a short time ago, to any router, that they leave.
	Leaving []gateway.LeavingReport
	// Crashes are the prompt parts with which upstreams have ended, at any router, and Alive
	// the upstreams that broke requests off and did not end.
	Crashes []gateway.PartReport
	Alive   []gateway.AliveReport
	// Limits are the limits that upstreams name, to any router, and those that have ended a
	// short time ago.
	Limits []gateway.LimitReport
	// Work and Tokens are the predicted work of the requests in progress, in tenths of a ms,
	// and their tokens, parallel to Upstreams; empty if nothing is predicted.
	Work   []uint
	Tokens []uint
	// Slow are hashes of the upstreams whose hosts were slower than normal a short time ago.
	// SlowPercent and SlowAgeMs, parallel to it, are the last statement and its age.
	Slow        []uint32
	SlowPercent []uint
	SlowAgeMs   []uint
	// Cold are the upstreams that are cold.
	Cold []gateway.ColdReport
	// EraFirst is the lowest revision at which the store was seen in Era; 0 if none is known.
	EraFirst uint64
	// Restored are entries of upstreams that had departed before the era RestoredEra, and
	// that only the copy with which that era began lists as ready.
	RestoredEra uint64
	Restored    []catalog.RestoredEntry
	// Customers are the uses of services by the customers that use most at the router.
	Customers []gateway.CustomerUse
	// Incarnation identifies the process that sends the report.
	Incarnation uint64
	// Fresh states that the sender started a short time ago, and has heard from no router that ran
	// before.
	Fresh bool
	// StreamsOf is the incarnation of the peer to which StreamsAfter belongs, and StreamsWhole
	// states that no record after it is missing in Streams.
	StreamsOf    uint64
	StreamsWhole bool
	// AsksPromise asks the peer to tell this router of each stream before its first event, for
	// promiseTime from the call on, and Promises is the answer. AsksAll asks also for all records,
	// of a peer that lacks none: Complete states that it does not, and Running and Ended are the
	// routers that it knows.
	AsksPromise bool
	Promises    bool
	AsksAll     bool
	Complete    bool
	Running     []string
	Ended       []cover.Ended
}

// Placements are prompt placements as parallel slices: the parts, and short hashes of
// the keys of the upstreams that have read them.
type Placements struct {
	Parts []uint64
	At    []uint32
}

func encodePlacements(placements []gateway.Placement) Placements {
	var out Placements
	for _, p := range placements {
		out.Parts = append(out.Parts, p.Part)
		out.At = append(out.At, p.At.Sum())
	}
	return out
}

// recordPlacements records the placements at upstreams that this router knows.
func (m *Mesh) recordPlacements(p Placements, origin gateway.Origin) {
	for i, part := range p.Parts[:min(len(p.Parts), len(p.At))] {
		if key, ok := m.opts.UpstreamKey(p.At[i]); ok {
			m.opts.Prompts.Record(gateway.Placement{Part: part, At: key}, origin)
		}
	}
}

// DomainSum is the sum of the reports of all routers of a failure domain.
type DomainSum struct {
	Domain    string
	Age       time.Duration // since it was summed up
	Upstreams []uint32
	Requests  []uint // averages, in gateway.LoadUnits
	Answered  []uint32
	Tallies   []gateway.Tally
	Work      []uint // averages, parallel to Upstreams, as in Report
	Tokens    []uint
	Customers []gateway.CustomerUse
}

// newReport returns the parts of a report that all kinds have.
func (m *Mesh) newReport() Report {
	r := Report{
		Router: m.opts.Router, Address: m.opts.Address, Domain: m.opts.FailureDomain, Stamps: make([]feed.Stamp, len(m.opts.Feeds)),
		Era: m.opts.Eras.Newest(), Configuration: m.opts.Held.Version(), Compact: true, Leaving: m.opts.Leaving.Reports(),
		Crashes: m.opts.Crashes.Reports(), Alive: m.opts.Crashes.Alive(), Limits: m.opts.Limits.Reports(),
		Cold: m.opts.Cold.Reports(), Incarnation: m.cover.incarnation, Fresh: m.isFresh(),
	}
	if at, returned := m.opts.Eras.Since(); returned {
		r.EraAge, r.EraFirst = time.Since(at), m.opts.Eras.First(r.Era)
	}
	r.RestoredEra, r.Restored = m.opts.Restored()
	r.Slow, r.SlowPercent, r.SlowAgeMs = encodeSlowness(m.opts.Loads.SlownessReports())
	for i, f := range m.opts.Feeds {
		r.Stamps[i] = f.Stamp()
	}
	return r
}

// relayInterval is the minimum time between two reports to a peer in which a speaker
// passes on those of other failure domains: they are large for hosts with links of low
// bandwidth.
const relayInterval = 400 * time.Millisecond

// ownReport returns this router's report to a peer, without placements. A speaker passes
// on the reports of other failure domains that are new to the peer.
func (m *Mesh) ownReport(address string) Report {
	r := m.newReport()
	r.Upstreams, r.Requests = encodeLoads(m.opts.Board.OwnLoads())
	r.Work, r.Tokens = encodeWork(r.Upstreams, m.opts.Loads.OwnWork())
	r.Answered, r.Tallies = encodeAnswerCounts(m.opts.Board.OwnAnswerCounts())
	r.Customers = m.opts.Board.OwnCustomers()
	sumsSent, relays := m.beginRelay(address)
	if !relays {
		return r
	}
	for _, d := range m.opts.Board.DomainReports() {
		if d.Age < time.Since(sumsSent) {
			r.Sums = append(r.Sums, encodeSum(d))
		}
	}
	return r
}

// domainReport returns the report of this router's failure domain, without placements.
func (m *Mesh) domainReport() Report {
	r := m.newReport()
	r.OfDomain = true
	sum := m.opts.Board.SumDomain(m.opts.FailureDomain)
	r.Sums = []DomainSum{encodeSum(sum)}
	m.mu.Lock()
	m.domainEntries = len(sum.Loads) + len(sum.AnswerCounts)
	m.mu.Unlock()
	return r
}

func encodeLoads(loads gateway.Loads) (upstreams []uint32, requests []uint) {
	upstreams, requests = make([]uint32, 0, len(loads)), make([]uint, 0, len(loads))
	for sum, n := range loads {
		upstreams = append(upstreams, sum)
		requests = append(requests, uint(n))
	}
	return upstreams, requests
}

func encodeAnswerCounts(counts gateway.AnswerCountsByUpstream) (answered []uint32, tallies []gateway.Tally) {
	answered, tallies = make([]uint32, 0, len(counts)), make([]gateway.Tally, 0, len(counts))
	for sum, c := range counts {
		answered = append(answered, sum)
		tallies = append(tallies, c)
	}
	return answered, tallies
}

func encodeSum(d gateway.DomainReport) DomainSum {
	s := DomainSum{Domain: d.Domain, Age: d.Age, Customers: d.Customers}
	s.Upstreams, s.Requests = encodeLoads(d.Loads)
	s.Work, s.Tokens = encodeWork(s.Upstreams, d.Work)
	s.Answered, s.Tallies = encodeAnswerCounts(d.AnswerCounts)
	return s
}

// decodeLoads returns the loads in a report. Slices of different lengths are cut.
func decodeLoads(upstreams []uint32, requests []uint) gateway.Loads {
	loads := make(gateway.Loads, len(upstreams))
	for i, sum := range upstreams[:min(len(upstreams), len(requests))] {
		loads[sum] = int(min(requests[i], maxReportedRequests))
	}
	return loads
}

// decodeAnswerCounts returns the answer counts in a report. Slices of different lengths
// are cut.
func decodeAnswerCounts(answered []uint32, tallies []gateway.Tally) gateway.AnswerCountsByUpstream {
	counts := make(gateway.AnswerCountsByUpstream, len(answered))
	for i, sum := range answered[:min(len(answered), len(tallies))] {
		counts[sum] = tallies[i]
	}
	return counts
}

// maxReportedRequests limits the number of requests in progress at one upstream that is
// accepted from a peer's report.
const maxReportedRequests = 1 << 16

// applyReport applies the era, the request counts, the failure counts, the placements
// and the records of streams in a report.
func (m *Mesh) applyReport(r *Report) {
	if !r.Fresh {
		m.cover.heardOlder.Store(true)
	}
	m.opts.Eras.Observe(r.Era, r.EraAge)
	m.opts.Eras.ObserveRevision(r.Era, r.EraFirst)
	if len(r.Restored) > 0 {
		m.opts.MergeRestored(r.RestoredEra, r.Restored)
	}
	m.mu.Lock()
	domain := m.domainOf(r.Address, r.Domain)
	m.mu.Unlock()
	own := m.opts.FailureDomain
	if !r.OfDomain {
		m.opts.Board.SetPeerReport(r.Router, domain, decodeLoads(r.Upstreams, r.Requests), decodeAnswerCounts(r.Answered, r.Tallies))
		m.opts.Board.SetPeerWork(r.Router, decodeWork(r.Upstreams, r.Work, r.Tokens))
		m.opts.Board.SetPeerCustomers(r.Router, r.Customers)
	}
	m.applySlowness(r)
	for _, s := range r.Sums {
		// A router knows its own failure domain from the routers themselves.
		if s.Domain != own && s.Domain != "" {
			m.opts.Board.SetDomainReport(gateway.DomainReport{
				Domain: s.Domain, Age: max(0, s.Age),
				Loads: decodeLoads(s.Upstreams, s.Requests), AnswerCounts: decodeAnswerCounts(s.Answered, s.Tallies),
				Work:      decodeWork(s.Upstreams, s.Work, s.Tokens),
				Customers: s.Customers[:min(len(s.Customers), gateway.MaxReportedCustomers)],
			})
		}
	}
	for _, l := range r.Leaving {
		if key, ok := m.opts.UpstreamKey(l.Upstream); ok {
			m.opts.MarkLeaving(key, time.Duration(l.AgeMs)*time.Millisecond)
		}
	}
	news := m.opts.Crashes.Merge(r.Crashes, r.Alive)
	for _, l := range r.Limits {
		if key, ok := m.opts.UpstreamKey(l.Upstream); ok && m.opts.MergeLimit(key, l) {
			news = true
		}
	}
	if m.applyCold(r.Cold) {
		news = true
	}
	if news && m.currentRole().speaker {
		m.AnnounceNews()
	}
	origin := gateway.OriginDomain
	if domain != own {
		origin = gateway.OriginForeign
	}
	for _, p := range r.News {
		m.opts.Prompts.Record(p, origin)
	}
	m.recordPlacements(r.Made, origin)
	m.recordPlacements(r.Relayed, gateway.OriginForeign)
	m.recordStreams(r.Streams, origin)
	m.recordStreams(r.StreamsRelayed, gateway.OriginForeign)
}

// addPlacements adds the placements that the sender of args asks for to the reply.
func (m *Mesh) addPlacements(args, reply *Report) {
	made := gateway.OriginOwn
	if args.OfDomain {
		made |= gateway.OriginDomain
	}
	placements, next := m.opts.Prompts.PlacementsSince(args.NewsAfter, made)
	reply.NewsNext = next
	if !args.Compact {
		reply.News = placements
		return
	}
	reply.Made = encodePlacements(placements)
	if !args.OfDomain && m.relaysTo(args.Address) {
		relayed, _ := m.opts.Prompts.PlacementsSince(args.NewsAfter, gateway.OriginForeign)
		reply.Relayed = encodePlacements(relayed)
	}
}
