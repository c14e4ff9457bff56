// Command bench-prompts compares placement policies for requests that name the parts of
// their prompt and writes tables and a plot of the results.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"dandelionrill.example/experiment/prompts"
	"github.com/cockroachdb/errors"
)

const pageHeader = "# Placement of prompts, measured\n\nWritten by `make bench-prompts`; PLATFORM.md says what follows.\n"

func main() {
	out := flag.String("out", "docs", "directory for the tables and the plot")
	parallel := flag.Int("parallel", 3, "runs at a time")
	seconds := flag.Float64("seconds", 120, "length of a run")
	flag.Parse()
	if err := run(*out, *seconds, *parallel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, seconds float64, parallel int) error {
	policies := prompts.Policies()
	rows := prompts.Measure(policies, []uint64{1, 2, 3}, seconds, parallel)
	page := bytes.NewBufferString(pageHeader)
	if err := prompts.WriteTables(page, policies, rows); err != nil {
		return err
	}
	if err := prompts.Plot(filepath.Join(out, "plots"), policies, rows); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(out, "prompts-tables.md"), page.Bytes(), 0o644), "write tables")
}
