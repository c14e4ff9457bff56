package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"dandelionrill.example/fleet/soak"
)

// batch describes the seeds to run.
type batch struct {
	firstSeed uint64
	seedCount int
	parallel  int
	dir       string
	keepLogs  bool
	options   soak.Options // of each soak, except for Seed, Dir and Log
}

// run runs all seeds, up to parallel at a time, and returns how many failed.
func (b *batch) run() (failed int) {
	binary, err := build(b.dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return b.seedCount
	}
	b.options.Binary = binary
	slots := make(chan struct{}, b.parallel)
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range b.seedCount {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if !b.runSeed(b.firstSeed + uint64(i)) {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	all.Wait()
	return failed
}

// runSeed runs one seed and reports whether no guarantee was violated and no error
// occurred.
func (b *batch) runSeed(seed uint64) bool {
	opts := b.options
	opts.Seed, opts.Dir = seed, filepath.Join(b.dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	log, err := os.Create(filepath.Join(opts.Dir, "soak.log"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = log.Close() }()
	opts.Log = log
	s, err := soak.New(opts)
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
	if len(violations) > 0 || err != nil {
		return false
	}
	fmt.Printf("seed %d: passed\n", seed)
	if !b.keepLogs {
		_ = os.RemoveAll(opts.Dir)
	}
	return true
}
