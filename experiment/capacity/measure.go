package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/ticket"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/timeline"
	"dandelionrill.example/fleet/wire"
)

// Command is the command that measures the slopes of this package.
const Command = "make bench-capacity"

const (
	services        = 11
	failureDomains  = 12
	measureRepeats  = 5
	nonceBytes      = 32
	incarnationText = "0123456789abcdef0123456789abcdef"
)

// Measure measures all slopes of this package.
func Measure() ([]Slope, error) {
	out := []Slope{boardMemory(), ledgerMemory(), timelineMemory(), pickerRebuild()}
	configs, err := configSlopes()
	return append(out, configs...), err
}

// heapOf returns how many bytes of heap the result of build keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// fastest returns the duration of the fastest of measureRepeats runs, in seconds.
func fastest(run func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range measureRepeats {
		start := time.Now()
		run()
		best = min(best, time.Since(start))
	}
	return best.Seconds()
}

// sweep measures value at each size.
func sweep(sizes []int, value func(size int) float64) []Point {
	var out []Point
	for _, size := range sizes {
		out = append(out, Point{Size: float64(size), Value: value(size)})
	}
	return out
}

func hosts(n int) []store.Host {
	out := make([]store.Host, n)
	for i := range out {
		out[i] = store.Host{
			Name:          fmt.Sprintf("bkk-a-rack-%03d-host-%05d", i/20, i),
			Role:          store.RoleAgent,
			Service:       fmt.Sprintf("registry-llm-%02d", i%services),
			FailureDomain: fmt.Sprintf("domain-%02d", i%failureDomains),
			Address:       fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255),
			State:         store.HostLive,
		}
	}
	return out
}

// fullBoard returns a board with n hosts and a load report from each of them.
func fullBoard(n int) *board.Board {
	b := board.New()
	list := hosts(n)
	b.ObserveHostList(list)
	for _, h := range list {
		b.ObservePeer(board.Evidence{Host: h.Name, Kind: board.EvidenceServing, Incarnation: incarnationText, ConfigVersion: 1, Load: &wire.Load{InFlight: 3}})
	}
	return b
}

func boardMemory() Slope {
	points := sweep([]int{400, 1300, 4070}, func(n int) float64 {
		return heapOf(func() any { return fullBoard(n) })
	})
	return Slope{Name: "board", Per: "host", Unit: "bytes", Command: Command, Points: points}
}

func ledgerMemory() Slope {
	points := sweep([]int{1000, 10_000, 50_000}, func(n int) float64 {
		return heapOf(func() any {
			l := ticket.NewLedger(ticket.Options{Incarnation: incarnationText, Windows: 6, MaxRecords: n})
			for i := range n {
				nonce := fmt.Sprintf("%0*d", nonceBytes, i)
				l.Submit(ticket.Ticket{Service: "s", Incarnation: incarnationText, Window: 1, Nonce: nonce}, nonce+"-digest")
				l.Start(nonce)
				l.Finish(nonce, ticket.OutcomeAnswered)
			}
			return l
		})
	})
	return Slope{Name: "ledger", Per: "ticket remembered", Unit: "bytes", Command: Command, Points: points}
}

func timelineMemory() Slope {
	points := sweep([]int{1024, 2048, 4096}, func(n int) float64 {
		return heapOf(func() any {
			t := timeline.New(timeline.Options{Process: "p", RequestEvents: n})
			for i := range 2 * n {
				t.Record(timeline.Event{Kind: timeline.KindRequestAdmitted, Request: fmt.Sprintf("%0*d", nonceBytes, i), Customer: "customer-0001", Service: "registry-llm-01", Upstream: "bkk-a-rack-001-host-00001"})
			}
			return t
		})
	})
	return Slope{Name: "timeline", Per: "event kept", Unit: "bytes", Command: Command, Points: points}
}

// pickerRebuild measures the time to read the board and build one picker per service,
// which a router does at each change and periodically.
func pickerRebuild() Slope {
	points := sweep([]int{400, 1300, 3700}, func(n int) float64 {
		b := fullBoard(n)
		return fastest(func() { buildPickers(b) })
	})
	return Slope{Name: "pools-rebuild", Per: "upstream", Unit: "seconds", Command: Command, Points: points}
}

func buildPickers(b *board.Board) map[string]*place.Picker {
	candidates := make(map[string][]place.Candidate)
	for _, h := range b.Hosts() {
		candidates[h.Service] = append(candidates[h.Service], place.Candidate{Host: h.Name, Address: h.Address, FailureDomain: h.FailureDomain, Weight: 1})
	}
	out := make(map[string]*place.Picker, len(candidates))
	for name, list := range candidates {
		out[name] = place.NewPicker(place.Options{LoadMultiple: 1.5}, list)
	}
	return out
}

// newConfig returns a configuration with n customers and four rules for each.
func newConfig(n int) *config.Config {
	cfg := &config.Config{Version: 1, ChangeID: incarnationText, Author: "planner"}
	for i := range services {
		cfg.Services = append(cfg.Services, config.Service{
			ID: fmt.Sprintf("registry-llm-%02d", i), Kind: config.KindModel, LoadMultiple: 1.5,
			Models: []string{fmt.Sprintf("model-%02d", i)}, Resumes: true,
		})
	}
	for i := range n {
		id := fmt.Sprintf("customer-%04d", i)
		sum := sha256.Sum256([]byte(id))
		cfg.Customers = append(cfg.Customers, config.Customer{ID: id, KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1})
		for r := range 4 {
			cfg.Rules = append(cfg.Rules, config.Rule{Customer: id, Service: fmt.Sprintf("registry-llm-%02d", (i+r)%services), Host: config.Any, FailureDomain: config.Any, Priority: r})
		}
	}
	config.Normalize(cfg)
	return cfg
}

func configSlopes() ([]Slope, error) {
	sizes := []int{50, 200, 550}
	encoded := Slope{Name: "config-encoded", Per: "customer", Unit: "bytes", Command: Command}
	inMemory := Slope{Name: "config-held", Per: "customer", Unit: "bytes", Command: Command}
	adopt := Slope{Name: "config-adopt", Per: "customer", Unit: "seconds", Command: Command}
	for _, n := range sizes {
		raw, err := config.Encode(newConfig(n))
		if err != nil {
			return nil, err
		}
		size := float64(n)
		encoded.Points = append(encoded.Points, Point{size, float64(len(raw))})
		inMemory.Points = append(inMemory.Points, Point{size, heapOf(func() any { return decodeIndex(raw) })})
		adopt.Points = append(adopt.Points, Point{size, fastest(func() { decodeIndex(raw) })})
	}
	return []Slope{encoded, inMemory, adopt}, nil
}

// decodeIndex decodes a configuration and returns its index.
func decodeIndex(raw []byte) *config.Index {
	cfg, err := config.Decode(raw)
	if err != nil {
		return nil
	}
	return config.NewIndex(cfg)
}
