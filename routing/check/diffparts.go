package check

import (
	"fmt"

	"dandelionrill.example/fleet/routing"
)

// byName indexes the definitions that routers use: the last one of a name.
func byName[T any](list []T, name func(*T) string) map[string]int {
	index := make(map[string]int, len(list))
	for i := range list {
		index[name(&list[i])] = i
	}
	return index
}

func serviceName(s *routing.Service) string   { return s.Name }
func customerName(c *routing.Customer) string { return c.Name }

func (d *differ) diffServices(oldFields, nextFields []ServiceFields) {
	old, next := byName(d.old.Services, serviceName), byName(d.next.Services, serviceName)
	for _, name := range sortedKeys(next) {
		subject := "service " + Quote(name, d.keys)
		i := next[name]
		j, ok := old[name]
		if !ok {
			d.add(subject, "added", unaffected, "may be sent to it where a route names it")
			continue
		}
		d.diffService(subject, &d.old.Services[j], &d.next.Services[i])
		before, after := fieldsOf(oldFields, j), fieldsOf(nextFields, i)
		cold := func(f ServiceFields) string {
			return fmt.Sprintf("%v s at %v/s", optional(f.ColdStart), optional(f.ColdPerSecond))
		}
		changed(d, subject, "cold start", cold(before), cold(after), "none; they stay where they are", "are sent to cold upstreams at the new rate")
	}
	for _, name := range sortedKeys(old) {
		if _, ok := next[name]; !ok {
			d.add("service "+Quote(name, d.keys), "removed", unaffected, "for it, of routes that still name it, have no connection cap")
		}
	}
}

func (d *differ) diffService(subject string, old, next *routing.Service) {
	changed(d, subject, "most connections", old.MaxConnections, next.MaxConnections, "none; open connections stay", "open connections up to the new cap")
	engine := func(s *routing.Service) string {
		if s.Engine == nil {
			return "none"
		}
		return fmt.Sprintf("%d slots, %d tokens", s.Engine.Slots, s.Engine.CacheTokens)
	}
	changed(d, subject, "engine", engine(old), engine(next), "none; they stay where they are", "are placed by the new capacity, by routers that use it")
}

func optional(p *float64) float64 {
	if p == nil {
		return 0
	}
	return *p
}

func customerPriority(c *routing.Customer) string {
	if c.Priority == nil {
		return "of the route"
	}
	return fmt.Sprint(*c.Priority)
}

func (d *differ) diffCustomers(oldFields, nextFields []CustomerFields) {
	d.diffKeyRequirement()
	old, next := byName(d.old.Customers, customerName), byName(d.next.Customers, customerName)
	for _, name := range sortedKeys(next) {
		subject := "customer " + Quote(name, d.keys)
		i := next[name]
		j, ok := old[name]
		if !ok {
			d.add(subject, "added", unaffected, "with its keys are accepted")
			continue
		}
		before, after := &d.old.Customers[j], &d.next.Customers[i]
		changed(d, subject, "priority", customerPriority(before), customerPriority(after), "none; their upstreams have the old priority", "have the new priority")
		d.diffRegions(subject, fieldsOf(oldFields, j).Regions, fieldsOf(nextFields, i).Regions)
	}
	for _, name := range sortedKeys(old) {
		if _, ok := next[name]; !ok {
			d.add("customer "+Quote(name, d.keys), "withdrawn", unaffected, "see its keys")
		}
	}
	d.diffKeys()
}

// diffKeyRequirement reports the first customer and the last one: without customers, no
// route requires a key.
func (d *differ) diffKeyRequirement() {
	switch {
	case !d.oldTable.RequiresKey && d.nextTable.RequiresKey:
		d.add("customers", "API keys required", unaffected, "without a known key are denied (401), except on public routes")
	case d.oldTable.RequiresKey && !d.nextTable.RequiresKey:
		d.add("customers", "API keys no longer required", unaffected, "are accepted without a key on all routes")
	}
}

func (d *differ) diffKeys() {
	for _, key := range sortedKeys(d.keys) {
		old, next := d.oldTable.Customer(key), d.nextTable.Customer(key)
		subject := HashKey(key)
		switch {
		case old == nil && next != nil:
			d.add(subject, "added to customer "+Quote(next.Name, d.keys), unaffected, "with it are accepted")
		case old != nil && next == nil && d.nextTable.RequiresKey:
			d.add(subject, "withdrawn from customer "+Quote(old.Name, d.keys), unaffected, "with it are denied (401), except on public routes")
		case old != nil && next == nil:
			d.add(subject, "withdrawn from customer "+Quote(old.Name, d.keys), unaffected, "with it are accepted, since no key is required")
		case old != nil && next != nil && old.Name != next.Name:
			d.add(subject, "moved from customer "+Quote(old.Name, d.keys)+" to "+Quote(next.Name, d.keys), unaffected, "with it count as the new customer's")
		}
	}
}
