// Command soak runs seeded fault soaks and tells which seeds broke a promise.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"dandelionrill.example/fleet/soak"
	"github.com/integrii/flaggy"
)

func main() {
	first, count, parallel, rounds, dir := uint64(1), 5, 2, 3, "run/soak"
	flaggy.UInt64(&first, "", "seed", "first seed")
	flaggy.Int(&count, "", "count", "number of seeds")
	flaggy.Int(&parallel, "", "parallel", "soaks that run at once")
	flaggy.Int(&rounds, "", "rounds", "rounds of faults and calm in each")
	flaggy.String(&dir, "", "dir", "directory for logs; those of seeds that held are removed")
	flaggy.Parse()
	if failed := run(first, count, parallel, rounds, dir); failed > 0 {
		fmt.Printf("soak: %d of %d seeds broke a promise\n", failed, count)
		os.Exit(1)
	}
	fmt.Printf("soak: %d seeds, no promise broken\n", count)
}

func run(first uint64, count, parallel, rounds int, dir string) (failed int) {
	binary, err := soak.Build(dir, command)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return count
	}
	slots := make(chan struct{}, parallel)
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range count {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if !one(first+uint64(i), rounds, binary, dir) {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	all.Wait()
	return failed
}

func command(name string, args ...string) error {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// one runs one seed and tells whether it held.
func one(seed uint64, rounds int, binary, dir string) bool {
	own := filepath.Join(dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(own, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	logFile, err := os.Create(filepath.Join(own, "soak.log"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = logFile.Close() }()
	var log io.Writer = logFile
	s, err := soak.New(soak.Options{Seed: seed, Binary: binary, Dir: own, Rounds: rounds, Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	violations, err := s.Run()
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
	}
	for _, v := range violations {
		fmt.Printf("seed %d: %s\n", seed, v)
		fmt.Fprintln(log, "VIOLATION", v)
	}
	if len(violations) == 0 {
		fmt.Printf("seed %d: held\n", seed)
		_ = os.RemoveAll(own) // logs of a seed that held are of no use
	}
	return len(violations) == 0 && err == nil
}
