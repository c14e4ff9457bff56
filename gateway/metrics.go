package gateway

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms.
const (
	histogramMax    = 60_000_000 // microseconds
	histogramDigits = 2
)

// histogram counts latencies. It is an expvar.Var and may be used concurrently.
type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newHistogram() *histogram {
	return &histogram{hist: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Record adds a latency. One beyond the range counts as its end.
func (h *histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(1, d.Microseconds()), histogramMax)
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

// metrics are the counters and histograms of a gateway.
type metrics struct {
	vars       expvar.Map
	ends       expvar.Map // requests by end
	results    expvar.Map // sends by result
	dials      expvar.Int
	dialErrors expvar.Int
	silences   expvar.Int // silences of upstreams taken for a fault
	first      *histogram // until the first byte of an answer
	whole      *histogram // until the end
	dialTime   *histogram
}

func newMetrics() *metrics {
	m := &metrics{first: newHistogram(), whole: newHistogram(), dialTime: newHistogram()}
	m.vars.Set("requests", &m.ends)
	m.vars.Set("sends", &m.results)
	m.vars.Set("dials", &m.dials)
	m.vars.Set("dial_errors", &m.dialErrors)
	m.vars.Set("silences", &m.silences)
	m.vars.Set("first_byte", m.first)
	m.vars.Set("whole", m.whole)
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

// record counts a request that has ended, and logs what decided it.
func (g *Gateway) record(req *request, e end) {
	took := time.Since(req.arrived)
	g.metrics.ends.Add(endNames[e.kind], 1)
	for _, s := range req.sends {
		g.metrics.results.Add(s.result, 1)
	}
	if e.kind == endAnswered {
		g.metrics.first.Record(req.first)
		g.metrics.whole.Record(took)
	}
	fields := requestFields{req: req, end: e, took: took, catalog: g.catalog.Load().Revision}
	fields.tableAge, fields.catalogAge = g.opts.Ages()
	g.opts.Log.WithFields(fields).Info("request")
}
