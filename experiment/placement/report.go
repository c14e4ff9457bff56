package placement

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

// Row is the result of one policy, averaged over the seeds of a deployment.
type Row struct {
	Policy       Policy
	Result       Result
	BestReuse    float64   // reuse of an ideal cache, see oracleReuse
	SharesOfBest []float64 // reuse as a share of the best possible, by seed
}

// ShareOfBest returns the reuse as a share of the best possible.
func (r Row) ShareOfBest() float64 { return r.Result.Reuse / r.BestReuse }

// Deployments returns the deployments to measure.
func Deployments() []Deployment {
	seeds := []uint64{1, 2, 3}
	return []Deployment{
		{Name: "Registry", Engines: 12, Domains: 4, Routers: 4, Hours: 4, LoadMultiple: 1.25, Shape: statementSeason, Seeds: seeds},
		{Name: "Trust", Engines: 9, Domains: 3, Routers: 3, Hours: 4, LoadMultiple: 1.25, Shape: contestEve, Seeds: seeds},
		{Name: "336 per model", Engines: 336, Domains: 12, Routers: 37, Hours: 0.75, LoadMultiple: 1.25, Shape: steadyDemand, Seeds: []uint64{1}},
	}
}

// Measure runs every policy on a deployment, at most parallel runs at a time.
func Measure(d Deployment, policies []Policy, parallel int) []Row {
	rows := make([]Row, len(policies))
	for _, seed := range d.Seeds {
		turns := newTrace(seed, d.Engines, d.Hours, d.Shape)
		measuredFrom := min(warmupHours, d.Hours/3) * secondsPerHour
		best := oracleReuse(turns, cacheTokens*float64(d.Engines), measuredFrom)
		var group sync.WaitGroup
		slots := make(chan struct{}, parallel)
		for i, p := range policies {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				rows[i].add(p, Run(d, p, seed, turns), best, len(d.Seeds))
			})
		}
		group.Wait()
	}
	return rows
}

// add includes the result of one of n seeds in the averages.
func (r *Row) add(p Policy, res Result, best float64, n int) {
	r.Policy = p
	share := 1 / float64(n)
	r.BestReuse += best * share
	t := &r.Result
	for _, v := range []struct {
		sum *float64
		one float64
	}{
		{&t.Reuse, res.Reuse}, {&t.SkewP99, res.SkewP99}, {&t.SkewMean, res.SkewMean}, {&t.Refused, res.Refused},
		{&t.Attempts, res.Attempts}, {&t.CrossDomain, res.CrossDomain}, {&t.Displaced, res.Displaced},
		{&t.MovedBytesPerSecond, res.MovedBytesPerSecond}, {&t.ControlBytesPerSecond, res.ControlBytesPerSecond},
	} {
		*v.sum += v.one * share
	}
	r.SharesOfBest = append(r.SharesOfBest, res.Reuse/best)
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, d Deployment, rows []Row) error {
	_, err := fmt.Fprintf(w, "\n## %s: %d engines in %d failure domains, %d routers, %.4g h, %d seeds, best possible reuse %.1f%%\n\n"+
		"| policy | multiple | reuse, %% of best | range over seeds | skew p99 | skew mean | refused %% | attempts | crossing %% | displaced %% | KV MB/s if moved | control B/s |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|\n",
		d.Name, d.Engines, d.Domains, d.Routers, d.Hours, len(d.Seeds), 100*rows[0].BestReuse)
	for _, r := range rows {
		if err != nil {
			return err
		}
		t := r.Result
		_, err = fmt.Fprintf(w, "| %s | %.4g | %.1f | %.1f to %.1f | %.2f | %.2f | %.3f | %.3f | %.1f | %.2f | %.1f | %.0f |\n",
			r.Policy.Name, r.loadMultiple(d), 100*r.ShareOfBest(), 100*slices.Min(r.SharesOfBest), 100*slices.Max(r.SharesOfBest), t.SkewP99, t.SkewMean,
			100*t.Refused, t.Attempts, 100*t.CrossDomain, 100*t.Displaced, t.MovedBytesPerSecond/1e6, t.ControlBytesPerSecond)
	}
	return err
}

func (r Row) loadMultiple(d Deployment) float64 {
	if r.Policy.LoadMultiple > 0 {
		return r.Policy.LoadMultiple
	}
	return d.LoadMultiple
}
