// Command capacity measures the slopes of the fleet's state and works out the
// capacity page from them.
package main

import (
	"flag"
	"fmt"
	"os"

	"dandelionrill.example/experiment/capacity"
)

func main() {
	measure := flag.Bool("measure", false, "measure the slopes of this command and write them to -measured")
	measured := flag.String("measured", "docs/capacity/measured.json", "slopes measured by this command")
	others := flag.String("others", "docs/capacity/others.json", "slopes measured by other commands")
	page := flag.String("page", "docs/CAPACITY.md", "page to write")
	flag.Parse()
	if err := run(*measure, *measured, *others, *page); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(measure bool, measured, others, page string) error {
	if measure {
		slopes, err := capacity.Measure()
		if err != nil {
			return err
		}
		if err := capacity.Save(measured, slopes); err != nil {
			return err
		}
	}
	slopes, err := capacity.Load(measured, others)
	if err != nil {
		return err
	}
	return capacity.WritePage(page, slopes)
}
