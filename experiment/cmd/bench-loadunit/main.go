// Command bench-loadunit compares units of load and writes a table of the results.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"dandelionrill.example/experiment/loadunit"
	"github.com/cockroachdb/errors"
)

const seed = 292

func main() {
	out := flag.String("out", "docs", "directory for the table")
	flag.Parse()
	page := bytes.NewBufferString("# Units of load, measured\n\nWritten by `make bench-loadunit`; DESIGN-placement.md explains the columns.\n\n" +
		"| unit | offered | first token p50 s | first token p99 s | between tokens p95 ms | refused % | attempts | skew of requests p99 | skew of weighted load p99 |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, load := range []float64{0.5, 1, 1.25} {
		for _, u := range []loadunit.Unit{loadunit.UnitRequests, loadunit.UnitTokens, loadunit.UnitWeighted, loadunit.UnitLightWeighted, loadunit.UnitWeightedChoice} {
			r := loadunit.Run(u, load, seed)
			fmt.Fprintf(page, "| %s | %.4g | %.2f | %.2f | %.1f | %.2f | %.3f | %.2f | %.2f |\n", u, load, r.FirstP50, r.FirstP99,
				1000*r.TokenP95, 100*r.Refused, r.Attempts, r.SkewRequests, r.SkewWeighted)
		}
	}
	if err := os.WriteFile(filepath.Join(*out, "loadunit-table.md"), page.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "write table"))
		os.Exit(1)
	}
}
