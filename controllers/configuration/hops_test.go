package configuration

import (
	"fmt"
	"testing"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/store"
)

// BenchmarkHops reports the number of successive offers that a version needs to
// get from one router to all others. It reports the maximum and the mean over
// all routers that may be the first. One more offer brings the version to the
// agents.
func BenchmarkHops(b *testing.B) {
	const domains = 12
	for _, routers := range []int{24, 96, 370} {
		b.Run(fmt.Sprint("routers=", routers), func(b *testing.B) {
			next := offerTargets(routers, domains)
			worst, sum := 0, 0
			for b.Loop() {
				worst, sum = 0, 0
				for first := range next {
					hops := hopsFrom(first, next)
					worst = max(worst, hops)
					sum += hops
				}
			}
			b.ReportMetric(float64(worst), "hops-worst")
			b.ReportMetric(float64(sum)/float64(routers), "hops-mean")
		})
	}
}

// offerTargets returns, for each router, the routers that it offers versions
// to.
func offerTargets(routers, domains int) [][]int {
	hosts := make([]board.HostView, routers)
	index := make(map[string]int)
	for i := range hosts {
		hosts[i] = board.HostView{Listed: true, Host: store.Host{
			Name: fmt.Sprint("router-", i), Role: store.RoleRouter, FailureDomain: fmt.Sprint("d", i%domains),
		}}
		index[hosts[i].Name] = i
	}
	next := make([][]int, routers)
	for i, h := range hosts {
		for _, name := range neighborRouters(h.Name, h.FailureDomain, hosts) {
			next[i] = append(next[i], index[name])
		}
	}
	return next
}

// hopsFrom returns the number of hops from first to the router that is furthest
// away.
func hopsFrom(first int, next [][]int) int {
	distance := map[int]int{first: 0}
	furthest := 0
	for queue := []int{first}; len(queue) > 0; queue = queue[1:] {
		for _, n := range next[queue[0]] {
			if _, seen := distance[n]; seen {
				continue
			}
			distance[n] = distance[queue[0]] + 1
			furthest = max(furthest, distance[n])
			queue = append(queue, n)
		}
	}
	return furthest
}
