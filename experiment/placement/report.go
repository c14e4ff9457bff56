package placement

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

// Row is the outcome of one policy, averaged over the seeds of a deployment.
type Row struct {
	Policy Policy
	Result Result
	Best   float64   // reuse of the oracle
	Shares []float64 // reuse as a share of the best, by seed
}

// Share returns reuse as a share of the best possible.
func (r Row) Share() float64 { return r.Result.Reuse / r.Best }

// Deployments returns the deployments that are measured.
func Deployments() []Deployment {
	seeds := []uint64{1, 2, 3}
	return []Deployment{
		{Name: "Registry", Engines: 12, Domains: 4, Routers: 4, Hours: 4, Multiple: 1.25, Shape: statementSeason, Seeds: seeds},
		{Name: "Trust", Engines: 9, Domains: 3, Routers: 3, Hours: 4, Multiple: 1.25, Shape: contestEve, Seeds: seeds},
		{Name: "336 per model", Engines: 336, Domains: 12, Routers: 37, Hours: 0.75, Multiple: 1.25, Shape: steady, Seeds: []uint64{1}},
	}
}

// Measure runs every policy on a deployment, a few at a time.
func Measure(d Deployment, policies []Policy, parallel int) []Row {
	rows := make([]Row, len(policies))
	for _, seed := range d.Seeds {
		turns := newTrace(seed, d.Engines, d.Hours, d.Shape)
		from := min(earlierHours, d.Hours/3) * secondsPerHour
		best := oracleReuse(turns, cacheTokens*float64(d.Engines), from)
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

// add takes the result of one of n seeds into the averages.
func (r *Row) add(p Policy, res Result, best float64, n int) {
	r.Policy = p
	share := 1 / float64(n)
	r.Best += best * share
	t := &r.Result
	for _, v := range []struct {
		sum *float64
		one float64
	}{
		{&t.Reuse, res.Reuse}, {&t.SkewP99, res.SkewP99}, {&t.SkewMean, res.SkewMean}, {&t.Refused, res.Refused},
		{&t.Attempts, res.Attempts}, {&t.Crossing, res.Crossing}, {&t.Displaced, res.Displaced},
		{&t.MovedBytes, res.MovedBytes}, {&t.Control, res.Control},
	} {
		*v.sum += v.one * share
	}
	r.Shares = append(r.Shares, res.Reuse/best)
}

// WriteTable writes the rows as a Markdown table.
func WriteTable(w io.Writer, d Deployment, rows []Row) error {
	_, err := fmt.Fprintf(w, "\n## %s: %d engines in %d failure domains, %d routers, %.4g h, %d seeds, best possible reuse %.1f%%\n\n"+
		"| policy | multiple | reuse, %% of best | range over seeds | skew p99 | skew mean | refused %% | attempts | crossing %% | displaced %% | KV MB/s if moved | control B/s |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|\n",
		d.Name, d.Engines, d.Domains, d.Routers, d.Hours, len(d.Seeds), 100*rows[0].Best)
	for _, r := range rows {
		if err != nil {
			return err
		}
		t := r.Result
		_, err = fmt.Fprintf(w, "| %s | %.4g | %.1f | %.1f to %.1f | %.2f | %.2f | %.3f | %.3f | %.1f | %.2f | %.1f | %.0f |\n",
			r.Policy.Name, r.multiple(d), 100*r.Share(), 100*slices.Min(r.Shares), 100*slices.Max(r.Shares), t.SkewP99, t.SkewMean,
			100*t.Refused, t.Attempts, 100*t.Crossing, 100*t.Displaced, t.MovedBytes/1e6, t.Control)
	}
	return err
}

func (r Row) multiple(d Deployment) float64 {
	if r.Policy.Multiple > 0 {
		return r.Policy.Multiple
	}
	return d.Multiple
}
