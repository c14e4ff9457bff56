// Command soak runs seeded fault soaks and tells which seeds broke a promise.
package main

import (
	"fmt"
	"os"
	"os/exec"

	"dandelionrill.example/fleet/soak"
	"github.com/integrii/flaggy"
)

func main() {
	b := batch{first: 1, count: 5, parallel: 2, dir: "run/soak"}
	flaggy.UInt64(&b.first, "", "seed", "first seed")
	flaggy.Int(&b.count, "", "count", "number of seeds")
	flaggy.Int(&b.parallel, "", "parallel", "soaks that run at once")
	flaggy.Int(&b.size.Rounds, "", "rounds", "rounds of faults and calm in each; 0: default")
	flaggy.Int(&b.size.Routers, "", "routers", "routers in each, as processes; 0: default")
	flaggy.Int(&b.size.Upstreams, "", "upstreams", "upstreams in each; 0: default")
	flaggy.Int(&b.size.Callers, "", "callers", "callers in each; 0: default")
	flaggy.String(&b.dir, "", "dir", "directory for logs; those of seeds that held are removed")
	flaggy.Parse()
	if failed := b.run(); failed > 0 {
		fmt.Printf("soak: %d of %d seeds broke a promise\n", failed, b.count)
		os.Exit(1)
	}
	fmt.Printf("soak: %d seeds, no promise broken\n", b.count)
}

func command(name string, args ...string) error {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// build builds the routers.
func build(dir string) (string, error) { return soak.Build(dir, command) }
