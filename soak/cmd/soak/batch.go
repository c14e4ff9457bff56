package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"dandelionrill.example/fleet/soak"
)

// batch is a number of seeds to run.
type batch struct {
	first    uint64
	count    int
	parallel int
	dir      string
	size     soak.Options // of each soak
}

// run runs all seeds, some at a time, and returns how many broke a promise.
func (b *batch) run() (failed int) {
	binary, err := build(b.dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return b.count
	}
	b.size.Binary = binary
	slots := make(chan struct{}, b.parallel)
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range b.count {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			if !b.one(b.first + uint64(i)) {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	all.Wait()
	return failed
}

// one runs one seed and tells whether it held.
func (b *batch) one(seed uint64) bool {
	opts := b.size
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
	fmt.Printf("seed %d: held\n", seed)
	_ = os.RemoveAll(opts.Dir) // logs of a seed that held are of no use
	return true
}
