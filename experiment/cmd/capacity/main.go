// Command capacity measures how the fleet's state grows with its size and writes the
// tables of the capacity page.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"dandelionrill.example/experiment/capacity"
)

func main() {
	measure := flag.Bool("measure", false, "measure the slopes of this command first")
	docs := flag.String("docs", "docs", "folder of CAPACITY.md and of capacity/measured.json and capacity/others.json")
	flag.Parse()
	if err := run(*measure, *docs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(measure bool, docs string) error {
	measured := filepath.Join(docs, "capacity", "measured.json")
	if measure {
		slopes, err := capacity.Measure()
		if err != nil {
			return err
		}
		if err := capacity.Save(measured, slopes); err != nil {
			return err
		}
	}
	slopes, err := capacity.Load(measured, filepath.Join(docs, "capacity", "others.json"))
	if err != nil {
		return err
	}
	return capacity.WritePage(filepath.Join(docs, "CAPACITY.md"), slopes)
}
