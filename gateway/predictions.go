package gateway

import (
	"encoding/json"
	"math"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/cost"
)

// maxPredictedRoutes limits the routes with histograms of their own, of 40 kB each. Those of
// further routes are counted together.
const maxPredictedRoutes = 32

// otherRoutes is the name under which further routes are counted.
const otherRoutes = "other"

// predictionErrors counts by how much predictions were off, by route. It is an expvar.Var and
// may be used concurrently.
type predictionErrors struct {
	mu     sync.Mutex
	routes map[string]*routeErrors
	names  []string // in order of their first answer
}

// routeErrors are the differences between predicted and observed times, whatever their sign.
type routeErrors struct{ first, end *histogram }

func newPredictionErrors() *predictionErrors {
	return &predictionErrors{routes: make(map[string]*routeErrors)}
}

func (p *predictionErrors) route(name string) *routeErrors {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes[name] == nil && len(p.routes) >= maxPredictedRoutes {
		name = otherRoutes
	}
	r := p.routes[name]
	if r == nil {
		r = &routeErrors{first: newHistogram(), end: newHistogram()}
		p.routes[name] = r
		p.names = append(p.names, name)
	}
	return r
}

// record counts the errors of the prediction of an answer.
func (p *predictionErrors) record(a *cost.Answer, predicted *cost.Prediction) {
	r := p.route(a.Route)
	r.first.Record(difference(a.FirstMs, predicted.FirstMs))
	r.end.Record(difference(a.EndMs, predicted.EndMs))
}

func difference(observedMs, predictedMs float64) time.Duration {
	ms := min(math.Abs(observedMs-predictedMs), histogramMaxMicros/1000)
	return time.Duration(ms * float64(time.Millisecond))
}

// String implements expvar.Var.
func (p *predictionErrors) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	b.WriteByte('{')
	for i, name := range p.names {
		if i > 0 {
			b.WriteByte(',')
		}
		r := p.routes[name]
		b.WriteString(quoteJSON(name) + `:{"first_error":` + r.first.String() + `,"end_error":` + r.end.String() + `}`)
	}
	b.WriteByte('}')
	return b.String()
}

func quoteJSON(text string) string {
	data, err := json.Marshal(text)
	if err != nil {
		return `""` // a string always encodes
	}
	return string(data)
}
