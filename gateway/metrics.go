package gateway

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	histogramMaxMicros         = 60_000_000
	histogramSignificantDigits = 2
)

// histogram counts latencies. It is an expvar.Var and may be used concurrently.
type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{hist: hdrhistogram.New(1, histogramMaxMicros, histogramSignificantDigits)}
}

// Record adds a latency. A latency outside the range is recorded as the range's
// nearest bound.
func (h *histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(1, d.Microseconds()), histogramMaxMicros)
	if err := h.hist.RecordValue(value); err != nil {
		panic(err) // the value is within the range
	}
}

// String implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := json.Marshal(map[string]int64{
		"count":  h.hist.TotalCount(),
		"p50_us": h.hist.ValueAtQuantile(50),
		"p95_us": h.hist.ValueAtQuantile(95),
		"p99_us": h.hist.ValueAtQuantile(99),
		"max_us": h.hist.Max(),
	})
	if err != nil {
		return "null" // a map of numbers always encodes
	}
	return string(data)
}

// metrics holds the counters and histograms of a gateway.
type metrics struct {
	vars              expvar.Map
	requestsByEnd     expvar.Map // requests by how they ended
	sendsByResult     expvar.Map // sends by result
	dials             expvar.Int
	dialErrors        expvar.Int
	lateAnswers       expvar.Int // answers to earlier requests on a connection, which were skipped
	silences          expvar.Int // silences of upstreams that were treated as faults
	standbys          expvar.Int // standby attempts while an upstream was silent
	standbysUsed      expvar.Int // standby attempts that took over
	resumed           expvar.Map // streams that callers took up, by how their version was found
	resumedMissing    expvar.Map // streams that callers took up and that were refused, by what was missing
	leaving           expvar.Map // upstreams that leave, by what said so first
	holds             expvar.Int // times at which an upstream asked for no requests for a time
	blockedParts      expvar.Int // prompt parts that crash upstreams
	blockedRequests   expvar.Int // requests refused for such a part
	limits            expvar.Int // limits that upstreams name
	permitsGranted    expvar.Int // permits to send to such an upstream that were asked for and granted
	permitsDenied     expvar.Int // and that were denied
	limitedRequests   expvar.Int // requests refused for want of a permit
	memoryFull        expvar.Int // requests refused since upstreams' memory is full
	answerMemory      expvar.Int // answers broken off since too much is held of answers
	evacuatedDomains  expvar.Int // failure domains that are evacuated
	evacuatedRequests expvar.Int // requests refused since only evacuated upstreams are left
	queue             expvar.Map // decisions of the queues
	regionRequests    expvar.Int // requests refused since no upstream in an allowed region is left
	withdrawnSends    expvar.Map // sends given up just before they were written, by reason
	cold              expvar.Int // upstreams that are cold
	coldBegins        expvar.Map // times at which an upstream began to be cold, by what said so
	coldGranted       expvar.Int // permits to send to a cold upstream that were asked for and granted
	coldDenied        expvar.Int // and that were denied
	unwritableHeads   expvar.Int // sends given up since their heads cannot be written
	firstByte         *histogram // time until the first byte of an answer was ready to deliver
	completeAnswer    *histogram // time until the end of a complete answer
	dialTime          *histogram
}

func newMetrics() *metrics {
	m := &metrics{firstByte: newHistogram(), completeAnswer: newHistogram(), dialTime: newHistogram()}
	m.vars.Set("requests", &m.requestsByEnd)
	m.vars.Set("sends", &m.sendsByResult)
	m.vars.Set("dials", &m.dials)
	m.vars.Set("dial_errors", &m.dialErrors)
	m.vars.Set("late_answers", &m.lateAnswers)
	m.vars.Set("silences", &m.silences)
	m.vars.Set("standbys", &m.standbys)
	m.vars.Set("standbys_used", &m.standbysUsed)
	m.vars.Set("resumed", &m.resumed)
	m.vars.Set("resumed_missing", &m.resumedMissing)
	m.vars.Set("leaving", &m.leaving)
	m.vars.Set("holds", &m.holds)
	m.vars.Set("blocked_parts", &m.blockedParts)
	m.vars.Set("blocked_requests", &m.blockedRequests)
	m.vars.Set("limits", &m.limits)
	m.vars.Set("permits_granted", &m.permitsGranted)
	m.vars.Set("permits_denied", &m.permitsDenied)
	m.vars.Set("limited_requests", &m.limitedRequests)
	m.vars.Set("memory_full", &m.memoryFull)
	m.vars.Set("answer_memory", &m.answerMemory)
	m.vars.Set("evacuated_domains", &m.evacuatedDomains)
	m.vars.Set("evacuated_requests", &m.evacuatedRequests)
	m.vars.Set("queue", &m.queue)
	m.vars.Set("region_requests", &m.regionRequests)
	m.vars.Set("withdrawn_sends", &m.withdrawnSends)
	m.vars.Set("cold", &m.cold)
	m.vars.Set("cold_begins", &m.coldBegins)
	m.vars.Set("cold_permits_granted", &m.coldGranted)
	m.vars.Set("cold_permits_denied", &m.coldDenied)
	m.vars.Set("unwritable_heads", &m.unwritableHeads)
	m.vars.Set("first_byte", m.firstByte)
	m.vars.Set("whole", m.completeAnswer)
	m.vars.Set("dial_time", m.dialTime)
	return m
}

func (m *metrics) dialed(_ string, took time.Duration, err error) {
	m.dials.Add(1)
	if err != nil {
		m.dialErrors.Add(1)
		return
	}
	m.dialTime.Record(took)
}

// Metrics returns the counters and histograms of the gateway.
func (g *Gateway) Metrics() expvar.Var { return &g.metrics.vars }

// recordRequest counts and logs a request that has ended.
func (g *Gateway) recordRequest(req *request, e end) {
	took := time.Since(req.arrived)
	g.metrics.requestsByEnd.Add(endNames[e.kind], 1)
	for _, s := range req.sends {
		g.metrics.sendsByResult.Add(s.result, 1)
	}
	if e.kind == endAnswered {
		g.metrics.firstByte.Record(req.firstByte)
		g.metrics.completeAnswer.Record(took)
		g.slowest.record(req.route.Name, took-req.bodyRead, time.Now())
	}
	if e.kind == endRefused {
		g.recordDrainElapsed(req)
	}
	fields := requestFields{req: req, end: e, took: took, catalog: g.catalog.Load().Revision}
	fields.tableAge, fields.catalogAge = g.opts.ConfirmationAges()
	g.opts.Log.WithFields(fields).Info("request")
}
