// Command bench-mean measures the cost of delivering the mean load to agents and its age
// there, and writes a table of the results.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dandelionrill.example/experiment/meanload"
	"github.com/cockroachdb/errors"
)

func main() {
	out := flag.String("out", "docs", "directory for the table")
	span := flag.Duration("duration", 15*time.Second, "measured time of each run")
	flag.Parse()
	if err := run(*out, *span); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, span time.Duration) error {
	page := bytes.NewBufferString("# The mean at every agent, measured\n\nWritten by `make bench-mean`; DESIGN-placement.md explains the columns.\n\n" +
		"| services | domains | replicas per pool | delay | loss % | agents | routers | agent B/s | router B/s | busiest router B/s | CPU, cores of all nodes | age p50 s | age p99 s | age max s | error % | unknown % |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, o := range []meanload.Options{
		{Services: 1, Domains: 3, Replicas: 7},
		{Services: 1, Domains: 3, Replicas: 28},
		{Services: 2, Domains: 6, Replicas: 14},
		{Services: 2, Domains: 12, Replicas: 28},
		{Services: 2, Domains: 12, Replicas: 28, Delay: 5 * time.Millisecond, Loss: 0.02},
		{Services: 2, Domains: 12, Replicas: 28, Delay: 50 * time.Millisecond, Loss: 0.1},
	} {
		o.Duration = span
		r, err := meanload.Run(context.Background(), o)
		if err != nil {
			return errors.Wrap(err, "run")
		}
		fmt.Fprintf(page, "| %d | %d | %d | %v | %.0f | %d | %d | %.0f | %.0f | %.0f | %.3f | %.2f | %.2f | %.2f | %.1f | %.2f |\n",
			o.Services, o.Domains, o.Replicas, o.Delay, 100*o.Loss, r.Agents, r.Routers, r.AgentBytes, r.RouterBytes, r.MaxBytes,
			r.Cores, r.AgeP50.Seconds(), r.AgeP99.Seconds(), r.AgeMax.Seconds(), 100*r.RelativeError, 100*r.Unknown)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(out, "mean-table.md"), page.Bytes(), 0o644), "write table")
}
