package entry

import (
	"sync"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/routing"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// heldConfiguration gives the other routers the configuration in force here: after a
// return from a copy, the store may hold an older one until operators have written
// theirs again. Its methods may be called concurrently.
type heldConfiguration struct {
	host *Host

	mu      sync.Mutex
	version uint64         // of records
	records []store.Record // of the newest configuration that was put in force
	older   store.Position // of the older configuration that was last logged
}

// Version returns the version in force; 0 if there is none.
func (c *heldConfiguration) Version() uint64 { return c.host.gateway.Version() }

// Records returns the records of the configuration in force.
func (c *heldConfiguration) Records() []store.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records
}

// Adopt puts the configuration of another router in force if it is newer.
func (c *heldConfiguration) Adopt(records []store.Record) {
	c.host.applyConfiguration(feed.Snapshot{Records: records})
}

// setRecords records that a version of the configuration was put in force.
func (c *heldConfiguration) setRecords(version uint64, records []store.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version {
		c.version, c.records = version, records
	}
}

// logOlder logs, once, that the store holds an older configuration than the one in
// force.
func (c *heldConfiguration) logOlder(listed uint64, at store.Position) {
	c.mu.Lock()
	first := c.older != at
	c.older = at
	c.mu.Unlock()
	if first {
		c.host.log.WithFields(log.Fields{
			"config": c.Version(), "listed": listed, "era": at.Era, "revision": at.Revision,
		}).Warn("the store holds an older configuration; the newer one stays in force")
	}
}

// logInvalidCustomers logs the customers whose requests are refused for their names.
func (h *Host) logInvalidCustomers(c *routing.Configuration) {
	for i := range c.Customers {
		if customer := &c.Customers[i]; !customer.HasValidName() {
			h.log.WithFields(log.Fields{"config": c.Version, "customer": customer.Name}).Warn("name of a customer is not valid; its requests are refused")
		}
	}
}

// applyConfiguration puts a newer configuration in force. If it cannot be decoded,
// the previous one stays in force.
func (h *Host) applyConfiguration(s feed.Snapshot) {
	c, err := platform.DecodeConfiguration(s.Records)
	if errors.Is(err, platform.ErrNoConfiguration) {
		return
	}
	if err != nil {
		h.log.WithError(err).WithField("revision", s.Revision).Error("cannot decode the configuration; the previous one stays in force")
		return
	}
	if h.gateway.SetTable(routing.NewTable(c)) {
		h.held.setRecords(c.Version, s.Records)
		h.callers.setLimit(c.Limits.IdleTimeout)
		h.log.WithFields(log.Fields{
			"config": c.Version, "era": s.Era, "revision": s.Revision, "routes": len(c.Routes), "customers": len(c.Customers),
			"idle_ms": c.Limits.IdleTimeout.Milliseconds(),
		}).Info("configuration in force")
		h.logInvalidCustomers(c)
		return
	}
	if c.Version < h.gateway.Version() {
		h.held.logOlder(c.Version, s.Position())
	}
}
