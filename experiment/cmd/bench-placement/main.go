// Command bench-placement measures the placement policies on seeded traces and writes
// tables and plots of the results.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dandelionrill.example/experiment/placement"
	"github.com/cockroachdb/errors"
)

const pageHeader = "# Placement policies, measured\n\nWritten by `make bench-placement`; DESIGN-placement.md explains the columns.\n"

func main() {
	out := flag.String("out", "docs", "directory for the tables and plots")
	parallel := flag.Int("parallel", 3, "runs at a time")
	only := flag.String("only", "", "name of the one deployment to run")
	flag.Parse()
	if err := run(*out, *parallel, *only); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(outDir string, parallel int, only string) error {
	page := bytes.NewBufferString(pageHeader)
	plots := filepath.Join(outDir, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return errors.Wrap(err, "make plot directory")
	}
	for _, d := range placement.Deployments() {
		if only != "" && d.Name != only {
			continue
		}
		start := time.Now()
		if err := measure(page, plots, d, parallel); err != nil {
			return errors.Wrapf(err, "deployment %s", d.Name)
		}
		fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, time.Since(start).Round(time.Second))
	}
	return errors.Wrap(os.WriteFile(filepath.Join(outDir, "placement-tables.md"), page.Bytes(), 0o644), "write tables")
}

// measure appends the tables of one deployment and writes its plots.
func measure(page *bytes.Buffer, plots string, d placement.Deployment, parallel int) error {
	rows := placement.Measure(d, placement.Policies(), parallel)
	if err := placement.WriteTable(page, d, rows); err != nil {
		return errors.Wrap(err, "write table")
	}
	sweep := placement.Measure(d, placement.Sweep(), parallel)
	if err := placement.WriteTable(page, d, sweep); err != nil {
		return errors.Wrap(err, "write sweep")
	}
	name := strings.ToLower(strings.Fields(d.Name)[0])
	reuse := func(r placement.Row) float64 { return 100 * r.ShareOfBest() }
	skew := func(r placement.Row) float64 { return r.Result.SkewP99 }
	return errors.Join(
		placement.PlotBars(plots, "reuse-"+name+".png", d.Name+": cache reuse", "% of the best possible", rows, reuse),
		placement.PlotBars(plots, "skew-"+name+".png", d.Name+": skew of load", "max over mean, p99 over seconds", rows, skew),
		placement.PlotSweep(plots, "sweep-"+name+".png", d.Name+": load multiples 1.05 to 3", sweep),
	)
}
