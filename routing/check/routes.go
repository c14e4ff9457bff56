package check

import (
	"fmt"
	"strings"

	"dandelionrill.example/fleet/routing"
)

func routePlace(i int) string { return fmt.Sprintf("routes[%d]", i) }

func (k *checker) checkRoutes() {
	index := make(map[*routing.Route]int, len(k.c.Routes))
	for i := range k.c.Routes {
		index[&k.c.Routes[i]] = i
	}
	for i := range k.c.Routes {
		fields := fieldsOf(k.in.Routes, i)
		if !fields.Refused {
			k.checkMatch(i, index)
			k.checkRepeat(i, fields)
		}
		k.checkTimes(i, fields)
		k.checkShares(i, fields)
		k.checkPriority(routePlace(i)+".priority", k.c.Routes[i].Priority)
		k.checkRegions(routePlace(i), fields.Regions)
	}
}

// checkMatch looks up a request of the route's host and prefix as routers do, and reports
// if the table returns another route or none.
func (k *checker) checkMatch(i int, index map[*routing.Route]int) {
	r := &k.c.Routes[i]
	place := routePlace(i)
	found := k.table.Route(r.Host, r.PathPrefix)
	sameKey := found != nil && strings.EqualFold(found.Host, r.Host) && found.PathPrefix == r.PathPrefix
	if r.Host == "" {
		k.warn(place+".host", CodeEmptyHost, "empty host; only requests that name no host match")
	}
	switch {
	case !validHost(r.Host):
		k.warn(place+".host", CodeRouteNeverMatches, "host %s cannot be the host of a request", k.quote(r.Host))
	case !validPath(r.PathPrefix):
		k.warn(place+".prefix", CodeRouteNeverMatches, "prefix %s has characters that the path of a request cannot have", k.quote(r.PathPrefix))
	case found == nil:
		k.warn(place+".host", CodeRouteNeverMatches, "no request matches: hosts are compared without their port")
	case found != r && !sameKey:
		k.warn(place+".host", CodeRouteNeverMatches, "covered by routes[%d] (%s): hosts are compared without their port",
			index[found], k.quote(found.Name))
	}
	if found != r && sameKey {
		k.warn(place, CodeDuplicateRoute, "same host and prefix as routes[%d] (%s), which gets all requests; this one never matches",
			index[found], k.quote(found.Name))
	}
}

// validHost reports whether a request can have the host: net/http refuses requests whose
// Host has other characters.
func validHost(host string) bool {
	return !strings.ContainsFunc(host, func(r rune) bool {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		return !letter && (r < '0' || r > '9') && !strings.ContainsRune("!$%&()*+,-.:;=['_]~", r)
	})
}

// validPath reports whether a request line can hold the path, which ends at a question
// mark.
func validPath(path string) bool {
	return !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f || r == '?' })
}

func (k *checker) checkRepeat(i int, fields RouteFields) {
	r := &k.c.Routes[i]
	place := routePlace(i)
	if r.Resumable && !r.IsStream() {
		k.warn(place+".resumable", CodeResumable, "only streams can be resumed; it has no effect on this route")
	}
	switch {
	case fields.Attempts != nil && *fields.Attempts < 1:
		k.warn(place+".attempts", CodeAttempts, "%d attempts; routers make one", *fields.Attempts)
	case r.MaxAttempts > 1 && !r.Repeatable():
		k.warn(place+".attempts", CodeAttempts,
			"%d attempts on requests that may not be repeated; further ones are made only if no upstream has run the request", r.MaxAttempts)
	}
}

func (k *checker) checkTimes(i int, fields RouteFields) {
	r := &k.c.Routes[i]
	place := routePlace(i)
	switch {
	case r.Timeout <= 0:
		k.warn(place+".timeout", CodeTimeout, "%v; the timeout must be positive, routers use the caller's deadline or a default", r.Timeout)
		return
	case r.Timeout < r.LatencyTarget:
		k.warn(place+".timeout", CodeTimeoutObjective, "timeout %v is below the latency objective %v", r.Timeout, r.LatencyTarget)
	}
	if fields.PauseObjective > r.Timeout {
		k.warn(place+".pause", CodePauseObjective, "pause objective %v is over the timeout %v", fields.PauseObjective, r.Timeout)
	}
}

// checkShares reports services that do not exist, and weights that do not divide the
// requests.
func (k *checker) checkShares(i int, fields RouteFields) {
	r := &k.c.Routes[i]
	place := routePlace(i)
	total, negative := 0, false
	for j, share := range r.Shares {
		at := place + ".service"
		if fields.Split {
			at = fmt.Sprintf("%s.shares[%d].service", place, j)
		}
		if k.table.Service(share.Service) == nil {
			k.warn(at, CodeUnknownService, "service %s is not defined; upstreams that register under this name have no connection cap", k.quote(share.Service))
		}
		total += share.Weight
		negative = negative || share.Weight < 0
	}
	if !fields.Split {
		return
	}
	if total <= 0 && !negative {
		k.warn(place+".shares", CodeWeights, "all weights are zero; %s gets all requests", k.quote(r.Shares[0].Service))
		return
	}
	for j, share := range r.Shares {
		at := fmt.Sprintf("%s.shares[%d].weight", place, j)
		switch {
		case share.Weight < 0:
			k.warn(at, CodeWeights, "weight %d is negative; the other services do not get their shares", share.Weight)
		case share.Weight == 0 && len(r.Shares) > 1:
			k.warn(at, CodeWeights, "weight 0; %s gets no requests", k.quote(share.Service))
		}
	}
}
