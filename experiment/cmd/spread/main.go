// Command spread measures how fast configuration changes propagate.
//
//	go run ./cmd/spread -routers 10 -agents 90
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"dandelionrill.example/experiment/spread"
)

const settleTime = 5 * time.Second

func main() {
	opts := spread.Options{}
	flag.IntVar(&opts.Routers, "routers", 10, "routers")
	flag.IntVar(&opts.Agents, "agents", 90, "agents")
	flag.IntVar(&opts.Domains, "domains", 4, "failure domains")
	flag.DurationVar(&opts.Delay, "delay", 0, "delay of links, one way")
	flag.Float64Var(&opts.Loss, "loss", 0, "share of messages that arrive 200 ms later")
	changes := flag.Int("changes", 20, "changes to measure")
	out := flag.Bool("outage", false, "the platform is out once the first node has a change")
	idle := flag.Duration("idle", 20*time.Second, "time over which idle traffic is counted")
	flag.Parse()
	if err := run(opts, *changes, *out, *idle); err != nil {
		fmt.Fprintln(os.Stderr, "spread:", err)
		os.Exit(1)
	}
}

func run(opts spread.Options, changes int, outage bool, idle time.Duration) error {
	fleet, err := spread.New(opts)
	if err != nil {
		return err
	}
	defer fleet.Close()
	size := spread.Size{Customers: 550, Models: 11, Rules: 1650}
	first, err := fleet.Change(size, 1, nil)
	if err != nil {
		return err
	}
	nodes := opts.Routers + opts.Agents
	fmt.Printf("nodes %d (%d routers), delay %s, loss %g, outage %t; first version everywhere after %s\n",
		nodes, opts.Routers, opts.Delay, opts.Loss, outage, first.All.Round(time.Millisecond))
	time.Sleep(settleTime)
	traffic := fleet.MeasureTraffic(idle)
	seconds := traffic.Period.Seconds()
	fmt.Printf("idle: %.2f platform reads a second, %.0f link bytes a second and node\n",
		float64(traffic.Reads)/seconds, float64(traffic.LinkBytes)/seconds/float64(nodes))
	idleRate := float64(traffic.LinkBytes) / seconds
	return measure(fleet, size, changes, outage, idleRate, nodes)
}

// measure publishes changes and prints how they propagated. idleRate is the link bytes per
// second without changes.
func measure(fleet *spread.Fleet, size spread.Size, changes int, outage bool, idleRate float64, nodes int) error {
	var p50, p99, all []time.Duration
	reads, bytes, began := fleet.Reads(), fleet.LinkBytes(), time.Now()
	for i := range changes {
		var after func()
		if outage {
			after = func() { fleet.SetOutage(true) }
		}
		s, err := fleet.Change(size, 2+i%900, after)
		if err != nil {
			return err
		}
		p50, p99, all = append(p50, s.P50), append(p99, s.P99), append(all, s.All)
		fleet.SetOutage(false)
		time.Sleep(settleTime / 5)
		if outage {
			time.Sleep(2 * settleTime) // lets the watchers reconnect
		}
	}
	fmt.Printf("changes %d, %.1f platform reads each besides host lists\n", changes, float64(fleet.Reads()-reads)/float64(changes))
	extra := float64(fleet.LinkBytes()-bytes) - idleRate*time.Since(began).Seconds()
	fmt.Printf("link bytes a change and node, above idle: %.0f\n", extra/float64(changes*nodes))
	printTimes("50 %", p50)
	printTimes("99 %", p99)
	printTimes("100 %", all)
	return nil
}

func printTimes(share string, times []time.Duration) {
	slices.Sort(times)
	fmt.Printf("in force at %s: median %s, longest %s\n", share,
		times[len(times)/2].Round(100*time.Microsecond), times[len(times)-1].Round(100*time.Microsecond))
}
