// Command bench-overload measures goodput and fairness beyond saturation and writes
// tables of the results.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"dandelionrill.example/experiment/overload"
	"github.com/cockroachdb/errors"
)

const seed = 292

func main() {
	out := flag.String("out", "docs", "directory for the tables")
	parallel := flag.Int("parallel", 3, "runs at a time")
	flag.Parse()
	page := bytes.NewBufferString("# Overload, measured\n\nWritten by `make bench-overload`; DESIGN-placement.md explains the columns.\n")
	goodput(page, *parallel)
	surge(page, *parallel)
	idle(page, *parallel)
	if err := os.WriteFile(filepath.Join(*out, "overload-tables.md"), page.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "write tables"))
		os.Exit(1)
	}
}

// runAll runs all options, at most parallel runs at a time.
func runAll(all []overload.Options, parallel int) []overload.Result {
	results := make([]overload.Result, len(all))
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for i, o := range all {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			o.Seed = seed
			results[i] = overload.Run(o)
		})
	}
	group.Wait()
	return results
}

func goodput(page *bytes.Buffer, parallel int) {
	variants := []overload.Options{
		{Name: "no bound, no budget, fixed return", Unbounded: true, NoBudget: true, FixedRetryDelay: true},
		{Name: "bound, no budget, fixed return", NoBudget: true, FixedRetryDelay: true},
		{Name: "bound, no budget, computed return", NoBudget: true},
		{Name: "bound, budget, fixed return", FixedRetryDelay: true},
		{Name: "bound, budget, queue on the last attempt only", QueueOnLastOnly: true},
		{Name: "chosen: bound, budget, queue when no retry is left, computed return"},
		{Name: "chosen, return computed from all customers' queues", CountAllQueues: true},
		{Name: "chosen, queue wait 10 s", QueueWait: 10},
		{Name: "chosen with a budget for each customer", CustomerBudget: true},
		{Name: "chosen with a breaker per router and engine", Breaker: true},
		{Name: "chosen with hedging after 0.5 s in a queue", Hedge: 0.5},
	}
	var all []overload.Options
	for _, v := range variants {
		for _, load := range []float64{0.5, 0.8, 1, 1.25, 1.5, 2, 3} {
			v.Load = load
			all = append(all, v)
		}
	}
	page.WriteString("\n## Goodput from 0.5 to 3 times capacity\n\n| variant | offered | goodput | attempts per answer | refused % | late % | first token p99 s | busiest return, 100 ms |\n|---|---|---|---|---|---|---|---|\n")
	for i, r := range runAll(all, parallel) {
		fmt.Fprintf(page, "| %s | %.4g | %.3f | %.2f | %.1f | %.1f | %.2f | %d |\n", all[i].Name, all[i].Load, r.Goodput, r.Attempts,
			100*r.Refused, 100*r.Expired, r.Others.FirstTokenP99, r.MaxRetriesPer100ms)
	}
}

func idle(page *bytes.Buffer, parallel int) {
	var all []overload.Options
	for _, load := range []float64{0.03, 0.1, 0.3} {
		for _, floor := range []int{1, 2, 4, 8} {
			all = append(all, overload.Options{Load: load, Floor: floor})
		}
	}
	page.WriteString("\n## Floors of the bound in a nearly idle pool\n\n| offered | floor | refused % | attempts per answer | first token p99 s | most on one engine |\n|---|---|---|---|---|---|\n")
	for i, r := range runAll(all, parallel) {
		fmt.Fprintf(page, "| %.4g | %d | %.2f | %.3f | %.2f | %d |\n", all[i].Load, all[i].Floor, 100*r.Refused, r.Attempts, r.Others.FirstTokenP99, r.MaxRunning)
	}
}

func surge(page *bytes.Buffer, parallel int) {
	variants := []overload.Options{
		{Name: "chosen, without the surge"},
		{Name: "chosen", Surge: 20},
		{Name: "chosen, a budget for each customer", Surge: 20, CustomerBudget: true},
		{Name: "chosen, in-flight limit of 4 per customer and agent", Surge: 20, MaxInFlight: 4},
		{Name: "chosen, own budget and in-flight limit of 4", Surge: 20, CustomerBudget: true, MaxInFlight: 4},
		{Name: "chosen, return computed from all customers' queues", Surge: 20, CountAllQueues: true},
		{Name: "chosen, fixed return", Surge: 20, FixedRetryDelay: true},
		{Name: "chosen, queue wait 5 s", Surge: 20, QueueWait: 5},
		{Name: "chosen, queue wait 10 s", Surge: 20, QueueWait: 10},
		{Name: "chosen, queue wait 10 s, in-flight limit of 4", Surge: 20, QueueWait: 10, MaxInFlight: 4},
		{Name: "queue on the last attempt only", Surge: 20, QueueOnLastOnly: true},
		{Name: "one FIFO queue", Surge: 20, FIFO: true},
	}
	page.WriteString("\n## One of 10 customers sends 20 times its share, the pool otherwise at 0.7 of capacity\n\n| variant | others: first token p99 s | others: refused % | surging: first token p99 s | surging: refused % | goodput | attempts per answer |\n|---|---|---|---|---|---|---|\n")
	for i := range variants {
		variants[i].Load = 0.7
	}
	for i, r := range runAll(variants, parallel) {
		fmt.Fprintf(page, "| %s | %.2f | %.2f | %.2f | %.1f | %.3f | %.2f |\n", variants[i].Name, r.Others.FirstTokenP99, 100*r.Others.Refused,
			r.Surging.FirstTokenP99, 100*r.Surging.Refused, r.Goodput, r.Attempts)
	}
}
