package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dandelionrill.example/fleet/routing"
)

// checkServices reports services that are unused or defined twice, and capacities that
// contradict each other.
func (k *checker) checkServices() {
	used := usedServices(k.c)
	first := make(map[string]int, len(k.c.Services))
	for i := range k.c.Services {
		s := &k.c.Services[i]
		place := fmt.Sprintf("services[%d]", i)
		if j, ok := first[s.Name]; ok {
			k.warn(place+".name", CodeDuplicateService, "service %s is also services[%d]; the last definition counts", k.quote(s.Name), j)
		} else {
			first[s.Name] = i
			if !used[s.Name] {
				k.warn(place+".name", CodeUnusedService, "no route uses service %s", k.quote(s.Name))
			}
		}
		k.checkCapacity(place, s)
		k.checkCold(place, fieldsOf(k.in.Services, i))
	}
}

func usedServices(c *routing.Configuration) map[string]bool {
	used := make(map[string]bool)
	for _, r := range c.Routes {
		for _, share := range r.Shares {
			used[share.Service] = true
		}
	}
	return used
}

func (k *checker) checkCapacity(place string, s *routing.Service) {
	if s.MaxConnections < 0 {
		k.warn(place+".connections", CodeConnections, "%d connections; routers take it for no cap", s.MaxConnections)
	}
	if s.Engine == nil {
		return
	}
	if s.Engine.Slots <= 0 {
		k.warn(place+".engine.slots", CodeSlots, "%d slots; an engine needs at least one", s.Engine.Slots)
	}
	if s.Engine.CacheTokens < minRequestTokens {
		k.warn(place+".engine.tokens", CodeEngineMemory, "%d tokens; one request needs at least %d", s.Engine.CacheTokens, minRequestTokens)
	}
	if s.MaxConnections > 0 && s.MaxConnections < s.Engine.Slots {
		k.warn(place+".connections", CodeConnections, "%d connections leave some of the %d slots unused", s.MaxConnections, s.Engine.Slots)
	}
}

// checkCold reports a time after a start without a rate for it, and the reverse. A rate of
// 0 means that the service is never cold.
func (k *checker) checkCold(place string, fields ServiceFields) {
	seconds, rate := optional(fields.ColdStart), optional(fields.ColdPerSecond)
	switch {
	case seconds < 0:
		k.warn(place+".coldTime", CodeColdStart, "negative cold start time")
	case rate < 0:
		k.warn(place+".coldRate", CodeColdStart, "negative rate of a cold upstream")
	case seconds > 0 && rate == 0:
		k.warn(place+".coldTime", CodeColdStart, "cold start time without a rate; upstreams are never treated as cold")
	case rate > 0 && seconds == 0:
		k.warn(place+".coldRate", CodeColdStart, "rate of a cold upstream without a cold start time")
	}
}

// checkCustomers reports customers that are defined twice or cannot send requests, and
// keys that do not identify one customer.
func (k *checker) checkCustomers() {
	first := make(map[string]int, len(k.c.Customers))
	owner := make(map[string]int)
	for i := range k.c.Customers {
		c := &k.c.Customers[i]
		place := fmt.Sprintf("customers[%d]", i)
		if j, ok := first[c.Name]; ok {
			k.warn(place+".name", CodeDuplicateCustomer, "customer %s is defined before, at index %d", k.quote(c.Name), j)
		} else {
			first[c.Name] = i
		}
		if !c.HasValidName() {
			k.warn(place+".name", CodeCustomerName, "name %s has a control byte other than a tab inside, or a blank at an end; requests with its keys are refused", k.quote(c.Name))
		}
		if c.Priority != nil {
			k.checkPriority(place+".priority", *c.Priority)
		}
		k.checkRegions(place, fieldsOf(k.in.Customers, i).Regions)
		if len(c.Keys) == 0 {
			k.warn(place+".keys", CodeCustomerWithoutKey, "customer %s has no key and can use public routes only", k.quote(c.Name))
		}
		k.checkKeys(i, owner)
	}
}

// checkKeys reports the keys of one customer that are empty or not its alone. owner holds
// the first customer of each key seen so far.
func (k *checker) checkKeys(i int, owner map[string]int) {
	for j, key := range k.c.Customers[i].Keys {
		at := fmt.Sprintf("customers[%d].keys[%d]", i, j)
		previous, seen := owner[key]
		switch {
		case key == "":
			k.warn(at, CodeEmptyKey, "empty key; requests without a key count as this customer's")
		case !seen:
			owner[key] = i
		case previous == i:
			k.warn(at, CodeKeyRepeated, "%s is listed twice", HashKey(key))
		default:
			k.warn(at, CodeKeyOnManyCustomers, "%s is also a key of the customer at index %d (%s); requests with it count as %s's", HashKey(key),
				previous, k.quote(k.c.Customers[previous].Name), k.quote(k.table.Customer(key).Name))
		}
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// joinQuoted lists texts for output.
func joinQuoted(texts []string, keys map[string]bool) string {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = Quote(text, keys)
	}
	return strings.Join(quoted, ", ")
}
