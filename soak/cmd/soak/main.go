// Command soak runs fault injection soak tests for a range of seeds and prints
// the guarantees that each seed violated.
package main

import (
	"fmt"
	"os"
	"os/exec"

	"dandelionrill.example/fleet/soak"
	"github.com/integrii/flaggy"
)

func main() {
	b := batch{firstSeed: 1, seedCount: 5, parallel: 2, dir: "run/soak"}
	flaggy.UInt64(&b.firstSeed, "", "seed", "first seed")
	flaggy.Int(&b.seedCount, "", "count", "number of seeds")
	flaggy.Int(&b.parallel, "", "parallel", "number of soaks that run concurrently")
	flaggy.Int(&b.options.Rounds, "", "rounds", "rounds in each soak, each with a fault phase and a fault-free phase; 0: default")
	flaggy.Int(&b.options.Routers, "", "routers", "router processes in each soak; 0: default")
	flaggy.Int(&b.options.Upstreams, "", "upstreams", "upstreams in each soak; 0: default")
	flaggy.Int(&b.options.Callers, "", "callers", "concurrent callers in each soak; 0: default")
	faults := ""
	flaggy.String(&faults, "", "faults", "further faults, separated by commas: silence, versions, leaving, retry-after, limits, trouble, parts, requests, stops, restart, sessions, cold, evacuation, queue, copies, crowd, entries")
	flaggy.String(&b.dir, "", "dir", "directory for logs; those of seeds that passed are removed")
	flaggy.Bool(&b.keepLogs, "", "keep", "keep the logs of seeds that passed too")
	flaggy.Parse()
	var err error
	if b.options.Faults, err = soak.ParseFaults(faults); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if failed := b.run(); failed > 0 {
		fmt.Printf("soak: %d of %d seeds failed\n", failed, b.seedCount)
		os.Exit(1)
	}
	fmt.Printf("soak: %d seeds, no guarantee violated\n", b.seedCount)
}

// command runs a command and passes its standard error through.
func command(name string, args ...string) error {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// build compiles the router binary into dir and returns its path.
func build(dir string) (string, error) { return soak.Build(dir, command) }
