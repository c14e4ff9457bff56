package check

import (
	"fmt"
	"slices"
	"strings"

	"dandelionrill.example/fleet/routing"
)

// Change is one difference by meaning between two configurations.
type Change struct {
	Subject    string `json:"subject"` // such as route "chat" (h.example/chat/)
	Change     string `json:"change"`
	InProgress string `json:"inProgress"` // what it does to requests in progress
	New        string `json:"new"`        // what it does to requests that arrive later
}

// unaffected is the effect on requests in progress of all that they look up once: a
// request uses one table from start to end.
const unaffected = "none; they end under the version that they began with"

// differ collects the differences between two configurations.
type differ struct {
	old, next           *routing.Configuration
	oldTable, nextTable *routing.Table
	keys                map[string]bool
	changes             []Change
}

// Diff returns the differences from the configuration in force to the next one: routes,
// services, limits, customers. Routes that never match are left out on both sides. No
// API key appears in them.
func Diff(old, next Input) []Change {
	d := &differ{
		old: old.Configuration, next: next.Configuration,
		oldTable: routing.NewTable(old.Configuration), nextTable: routing.NewTable(next.Configuration),
		keys: Keys(old.Configuration),
	}
	for key := range Keys(next.Configuration) {
		d.keys[key] = true
	}
	d.diffRoutes(old.Routes, next.Routes)
	d.diffServices(old.Services, next.Services)
	d.diffLimits()
	d.diffCustomers(old.Customers, next.Customers)
	return d.changes
}

func (d *differ) add(subject, change, inProgress, added string) {
	d.changes = append(d.changes, Change{Subject: subject, Change: change, InProgress: inProgress, New: added})
}

// changed adds a change of a value unless both values are equal.
func changed[T comparable](d *differ, subject, what string, old, next T, inProgress, added string) {
	if old != next {
		d.add(subject, fmt.Sprintf("%s %v -> %v", what, old, next), inProgress, added)
	}
}

func (d *differ) routeSubject(r *routing.Route) string {
	host := r.Host
	if d.keys[host] {
		host = HashKey(host)
	}
	return fmt.Sprintf("route %s (%s%s)", Quote(r.Name, d.keys), host, r.PathPrefix)
}

// matchedRoute is a route that requests can match.
type matchedRoute struct {
	route  *routing.Route
	fields RouteFields
}

// matchedRoutes returns the routes that the table returns for their own host and prefix,
// by these.
func matchedRoutes(c *routing.Configuration, t *routing.Table, fields []RouteFields) map[string]matchedRoute {
	matched := make(map[string]matchedRoute, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if t.Route(r.Host, r.PathPrefix) == r {
			matched[strings.ToLower(r.Host)+" "+r.PathPrefix] = matchedRoute{route: r, fields: fieldsOf(fields, i)}
		}
	}
	return matched
}

func (d *differ) diffRoutes(oldFields, nextFields []RouteFields) {
	old := matchedRoutes(d.old, d.oldTable, oldFields)
	next := matchedRoutes(d.next, d.nextTable, nextFields)
	for _, at := range sortedKeys(next) {
		after := next[at]
		before, ok := old[at]
		if !ok {
			d.add(d.routeSubject(after.route), "added", unaffected, d.takenFrom(after.route))
			continue
		}
		d.diffRoute(before, after)
	}
	for _, at := range sortedKeys(old) {
		if _, ok := next[at]; !ok {
			r := old[at].route
			d.add(d.routeSubject(r), "removed", unaffected, d.fallsTo(r))
		}
	}
}

// takenFrom says who got the requests of an added route before.
func (d *differ) takenFrom(r *routing.Route) string {
	if before := d.oldTable.Route(r.Host, r.PathPrefix); before != nil {
		return "go to " + d.services(r) + "; before, by " + d.routeSubject(before)
	}
	return "go to " + d.services(r) + "; before, denied (404)"
}

// fallsTo says what becomes of the requests of a removed route.
func (d *differ) fallsTo(r *routing.Route) string {
	if after := d.nextTable.Route(r.Host, r.PathPrefix); after != nil {
		return "go by " + d.routeSubject(after) + " to " + d.services(after)
	}
	return "denied (404)"
}

// services describes where the requests of a route go.
func (d *differ) services(r *routing.Route) string {
	names := make([]string, len(r.Shares))
	for i, share := range r.Shares {
		names[i] = Quote(share.Service, d.keys)
		if len(r.Shares) > 1 {
			names[i] += fmt.Sprintf(" (weight %d)", share.Weight)
		}
	}
	return strings.Join(names, ", ")
}

var repeatNames = map[routing.Repeat]string{
	routing.RepeatNever: "not repeated", routing.RepeatIdempotent: "repeatable", routing.RepeatStream: "stream",
}

func (d *differ) diffRoute(before, after matchedRoute) {
	old, next := before.route, after.route
	s := d.routeSubject(next)
	changed(d, s, "name", Quote(old.Name, d.keys), Quote(next.Name, d.keys), unaffected, "counted under the new name")
	if !slices.Equal(old.Shares, next.Shares) {
		d.add(s, "services "+d.services(old)+" -> "+d.services(next),
			"none; they stay at their upstreams, and their retries go to the old services",
			"go to the new services; a stream that is taken up goes on only if one of them has the version that began it")
	}
	changed(d, s, "timeout", old.Timeout, next.Timeout, "none; they keep their deadline", "have the new timeout")
	changed(d, s, "latency objective", old.LatencyTarget, next.LatencyTarget, unaffected, "have the new objective")
	changed(d, s, "pause objective", before.fields.PauseObjective, after.fields.PauseObjective, unaffected, "have the new objective")
	changed(d, s, "kind", repeatNames[old.Repeat], repeatNames[next.Repeat], unaffected, "are retried and delivered by the new kind")
	changed(d, s, "resumable", old.Resumable, next.Resumable, unaffected, "streams follow the new value when they break off")
	changed(d, s, "priority", old.Priority, next.Priority, "none; their upstreams have the old priority", "have the new priority")
	changed(d, s, "most attempts", old.MaxAttempts, next.MaxAttempts, "none; they keep the old number", "have the new number")
	if old.Public != next.Public {
		effect := "need an API key, or are denied (401)"
		if next.Public {
			effect = "need no API key"
		}
		d.add(s, fmt.Sprintf("public %t -> %t", old.Public, next.Public), unaffected, effect)
	}
	changed(d, s, "prompt parts", old.NamesPromptParts, next.NamesPromptParts, unaffected, "are placed by the new value")
	d.diffRegions(s, before.fields.Regions, after.fields.Regions)
}

func (d *differ) diffRegions(subject string, old, next []string) {
	if !slices.Equal(slices.Sorted(slices.Values(old)), slices.Sorted(slices.Values(next))) {
		list := func(regions []string) string {
			if len(regions) == 0 {
				return "all"
			}
			return joinQuoted(regions, d.keys)
		}
		d.add(subject, "allowed regions "+list(old)+" -> "+list(next), unaffected, "go only to upstreams in the new regions")
	}
}

func (d *differ) diffLimits() {
	old, next := d.old.Limits, d.next.Limits
	denied := func(limit int64, status int) string {
		if limit <= 0 {
			return "have no limit but that of the process"
		}
		return fmt.Sprintf("over the new limit are denied (%d)", status)
	}
	changed(d, "limits", "header bytes", old.HeaderBytes, next.HeaderBytes, "none; their header has been accepted", denied(int64(next.HeaderBytes), 431))
	changed(d, "limits", "body bytes", old.BodyBytes, next.BodyBytes, "none, also for bodies still being read", denied(next.BodyBytes, 413))
	effect := "none; idle connections get the new limit"
	if next.IdleTimeout < old.IdleTimeout {
		effect = "none; connections that are idle keep the old limit until it has passed"
	}
	after := "connections close when they have been idle that long"
	if next.IdleTimeout <= 0 {
		after = "idle connections are not closed"
	}
	changed(d, "limits", "idle timeout", old.IdleTimeout, next.IdleTimeout, effect, after)
}
