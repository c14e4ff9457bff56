package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/share"
	"github.com/cespare/xxhash/v2"
)

const (
	// MaxReportedCustomers is the number of customers in one report, those that use most.
	MaxReportedCustomers = 32
	// useUnits is the number of units of a request in reports.
	useUnits = 16
	// minUse is the use, in requests, below which that of a customer is forgotten.
	minUse = 0.05
	// customersInterval is how often the uses at other routers are summed up, and
	// usualInterval how often they count for the usual use.
	customersInterval = 50 * time.Millisecond
	usualInterval     = time.Second
)

// CustomerUse is what a customer has used of a service lately, in the report of a router.
type CustomerUse struct {
	Customer uint32 // short hash of service and customer
	Use      uint32 // requests sent, decaying, in sixteenths
}

// customers records what each customer has used lately of the services whose requests are
// queued. All methods may be called concurrently.
type customers struct {
	mu       sync.Mutex
	own      map[uint32]*share.Mean
	peers    map[uint32]float64 // sum of the uses that other routers report
	total    float64            // use of all customers at all routers
	weights  float64            // of those customers
	summedAt time.Duration
	usual    share.Usual
	usualAt  time.Duration
}

// customerKey returns a short hash of a service and a customer of it.
func customerKey(service, customer string) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + customer))
}

// RecordCustomerUse records that a request of a customer is sent.
func (b *Board) RecordCustomerUse(key uint32) {
	now := b.now()
	c := &b.customers
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.own[key]
	if m == nil {
		m = &share.Mean{}
		if c.own == nil {
			c.own = make(map[uint32]*share.Mean)
		}
		c.own[key] = m
	}
	m.Add(now, 1)
}

// OwnCustomers returns the uses of the customers that use most at this router.
func (b *Board) OwnCustomers() []CustomerUse {
	now := b.now()
	c := &b.customers
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := make(map[uint32]float64, len(c.own))
	for key, m := range c.own {
		use := m.At(now)
		if use < minUse {
			delete(c.own, key)
			continue
		}
		uses[key] = use
	}
	return largestUses(uses)
}

func largestUses(uses map[uint32]float64) []CustomerUse {
	out := make([]CustomerUse, 0, len(uses))
	for key, use := range uses {
		out = append(out, CustomerUse{Customer: key, Use: uint32(min(use, 1<<20) * useUnits)})
	}
	slices.SortFunc(out, func(a, b CustomerUse) int { return cmp.Compare(b.Use, a.Use) })
	return out[:min(len(out), MaxReportedCustomers)]
}

// SetPeerCustomers sets the uses of customers that another router reports, with its report.
func (b *Board) SetPeerCustomers(router string, uses []CustomerUse) {
	p := &b.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, known := p.routers[router]; known {
		r.customers = uses[:min(len(uses), MaxReportedCustomers)]
		p.routers[router] = r
	}
}

// customerUse returns the use of a customer at all routers in proportion to its weight, what a
// request adds to it, and whether it is less than its share.
func (b *Board) customerUse(key uint32) (used, perRequest float64, low bool) {
	now := b.now()
	c := &b.customers
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil || now-c.summedAt >= customersInterval {
		c.sum(now, b.peers.customers())
	}
	used = c.peers[key]
	if m := c.own[key]; m != nil {
		used += m.At(now)
	}
	weight := c.usual.Weight(key)
	return used / weight, 1 / weight, share.Low(used/weight, c.total, c.weights)
}

// sum sums up the uses of all customers. c.mu must be held.
func (c *customers) sum(now time.Duration, peers map[uint32]float64) {
	c.peers, c.summedAt = peers, now
	all := make(map[uint32]float64, len(peers)+len(c.own))
	for key, use := range peers {
		all[key] += use
	}
	for key, m := range c.own {
		all[key] += m.At(now)
	}
	if c.usualAt == 0 || now-c.usualAt >= usualInterval {
		c.usual.Observe(now, all)
		c.usualAt = now
	}
	c.total, c.weights = 0, 0
	for key, use := range all {
		c.total += use
		c.weights += c.usual.Weight(key)
	}
}

// customers returns the sum of the uses that other routers report.
func (p *peerReports) customers() map[uint32]float64 {
	sum := make(map[uint32]float64)
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, reports := range []map[string]peerReport{p.routers, p.domains} {
		for _, r := range reports {
			for _, use := range r.customers {
				sum[use.Customer] += float64(use.Use) / useUnits
			}
		}
	}
	return sum
}

// domainCustomers returns the sum of the uses of all routers of this router's failure domain.
// p.mu must be held.
func (p *peerReports) domainCustomers(domain string, own []CustomerUse) []CustomerUse {
	sum := make(map[uint32]float64)
	for _, use := range own {
		sum[use.Customer] += float64(use.Use) / useUnits
	}
	for _, r := range p.routers {
		if r.domain == domain {
			for _, use := range r.customers {
				sum[use.Customer] += float64(use.Use) / useUnits
			}
		}
	}
	return largestUses(sum)
}
