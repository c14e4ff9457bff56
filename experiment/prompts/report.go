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

// ceiling and ceilingSlack are the platform's bound and the slack kept from it.
const (
	ceiling      = 2
	ceilingSlack = 2
)

// bounded returns a policy with fetches and a load bound of multiple x mean +
// slack.
func bounded(multiple, slack float64) Policy {
	return Policy{
		Name:   fmt.Sprintf("%.4g x mean + %.4g", multiple, slack),
		Prompt: place.PromptOptions{Multiple: multiple, Slack: slack, Ceiling: ceiling, CeilingSlack: ceilingSlack},
		Fetch:  true,
	}
}

// Policies returns the policies that are compared.
func Policies() []Policy {
	without := bounded(1.05, 8)
	without.Name, without.Fetch = "1.05 x mean + 8, no fetch", false
	return []Policy{
		bounded(1.6, 4), bounded(1.25, 2), bounded(1.25, 6), bounded(1.1, 6), bounded(1.05, 8), bounded(1, 10), bounded(1, 4), without,
	}
}

// Traffic is the multiples of the usual traffic that are played.
var Traffic = []float64{0.7, 1, 2, 3, 4}

// Rows are the results of all policies at one multiple of the traffic.
type Rows struct {
	Traffic float64
	Results []*Result // by policy
}

// Measure plays all policies at all multiples, a few at a time.
func Measure(policies []Policy, seeds []uint64, seconds float64, parallel int) []Rows {
	out := make([]Rows, len(Traffic))
	slots := make(chan struct{}, parallel)
	var all sync.WaitGroup
	for t, traffic := range Traffic {
		out[t] = Rows{Traffic: traffic, Results: make([]*Result, len(policies))}
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

// WriteTables writes one Markdown table for each multiple of the traffic.
func WriteTables(w io.Writer, policies []Policy, rows []Rows) error {
	for _, t := range rows {
		if _, err := fmt.Fprintf(w, "\n## %.4g times the usual traffic, %d requests\n\n"+
			"| policy | late %% | by the first event | by a pause | first event p99 ms | shared tokens read again %% | largest load over mean |\n"+
			"|---|---|---|---|---|---|---|\n", t.Traffic, t.Results[0].Requests); err != nil {
			return errors.Wrap(err, "write table")
		}
		for p, r := range t.Results {
			n := float64(r.Requests)
			if _, err := fmt.Fprintf(w, "| %s | %.2f | %.2f | %.2f | %.0f | %.2f | %.2f |\n", policies[p].Name, 100*r.Late(),
				100*float64(r.LateFirst)/n, 100*float64(r.LatePause)/n, 1000*r.FirstP99(), 100*r.Reread/r.Shared, r.Skew); err != nil {
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

// Plot writes the share of late requests over the traffic, a line for each
// policy.
func Plot(dir string, policies []Policy, rows []Rows) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Late requests", "multiple of the usual traffic", "late, %"
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for i, policy := range policies {
		var points plotter.XYs
		for _, t := range rows {
			points = append(points, plotter.XY{X: t.Traffic, Y: 100 * t.Results[i].Late()})
		}
		lines = append(lines, policy.Name, points)
	}
	p.Add(plotter.NewGrid())
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "line plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, "prompts-late.png")), "save plot")
}
