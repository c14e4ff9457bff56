package prompts

import (
	"fmt"
	"io"
	"path/filepath"
	"sync"

	"dandelionrill.example/fleet/decide/place"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ceiling and ceilingSlack are the platform's load bound for an engine: a multiple of the
// mean load, and the requests allowed beyond it.
const (
	ceiling      = 2
	ceilingSlack = 2
)

// bounded returns a policy with fetches and a load bound of multiple x mean + slack.
func bounded(multiple, slack float64) Policy {
	return Policy{
		Name:   fmt.Sprintf("%.4g x mean + %.4g", multiple, slack),
		Prompt: place.PromptOptions{Multiple: multiple, Slack: slack, Ceiling: ceiling, CeilingSlack: ceilingSlack},
		Fetch:  true,
	}
}

// Policies returns the policies to compare.
func Policies() []Policy {
	withoutFetch := bounded(1.05, 8)
	withoutFetch.Name, withoutFetch.Fetch = "1.05 x mean + 8, no fetch", false
	return []Policy{
		bounded(1.6, 4), bounded(1.25, 2), bounded(1.25, 6), bounded(1.1, 6), bounded(1.05, 8), bounded(1, 10), bounded(1, 4), withoutFetch,
	}
}

// Traffic lists the simulated multiples of the usual traffic.
var Traffic = []float64{0.7, 1, 2, 3, 4}

// TrafficResults holds the results of all policies at one multiple of the usual traffic.
type TrafficResults struct {
	Traffic float64
	Results []*Result // by policy
}

// Measure runs all policies at all traffic multiples, at most parallel runs at a time.
func Measure(policies []Policy, seeds []uint64, seconds float64, parallel int) []TrafficResults {
	out := make([]TrafficResults, len(Traffic))
	slots := make(chan struct{}, parallel)
	var all sync.WaitGroup
	for t, traffic := range Traffic {
		out[t] = TrafficResults{Traffic: traffic, Results: make([]*Result, len(policies))}
		for p, policy := range policies {
			slots <- struct{}{}
			all.Go(func() {
				defer func() { <-slots }()
				s := Scenario{Engines: 12, Routers: 5, Seconds: seconds, Traffic: traffic, Seeds: seeds}
				out[t].Results[p] = Run(s, policy)
			})
		}
	}
	all.Wait()
	return out
}

// WriteTables writes one Markdown table per traffic multiple.
func WriteTables(w io.Writer, policies []Policy, rows []TrafficResults) error {
	for _, t := range rows {
		if _, err := fmt.Fprintf(w, "\n## %.4g times the usual traffic, %d requests\n\n"+
			"| policy | late %% | by the first event | by a pause | first event p99 ms | shared tokens read again %% | largest load over mean |\n"+
			"|---|---|---|---|---|---|---|\n", t.Traffic, t.Results[0].Requests); err != nil {
			return errors.Wrap(err, "write table")
		}
		for p, r := range t.Results {
			n := float64(r.Requests)
			if _, err := fmt.Fprintf(w, "| %s | %.2f | %.2f | %.2f | %.0f | %.2f | %.2f |\n", policies[p].Name, 100*r.LateShare(),
				100*float64(r.LateFirstEvent)/n, 100*float64(r.LatePause)/n, 1000*r.FirstEventP99(), 100*r.RecomputedTokens/r.SharedTokens, r.Skew); err != nil {
				return errors.Wrap(err, "write table")
			}
		}
	}
	return nil
}

// Size of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot writes a plot of the share of late requests against the traffic, with one line per
// policy.
func Plot(dir string, policies []Policy, rows []TrafficResults) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Late requests", "multiple of the usual traffic", "late, %"
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for i, policy := range policies {
		var points plotter.XYs
		for _, t := range rows {
			points = append(points, plotter.XY{X: t.Traffic, Y: 100 * t.Results[i].LateShare()})
		}
		lines = append(lines, policy.Name, points)
	}
	p.Add(plotter.NewGrid())
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "line plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, "prompts-late.png")), "save plot")
}
