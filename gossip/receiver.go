package gossip

import (
	"context"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

// receiver implements the methods that other routers call.
type receiver struct{ mesh *Mesh }

// Exchange applies the report of another router and replies with this router's.
func (r *receiver) Exchange(args *Report, reply *Report) (err error) {
	defer r.mesh.recoverCall("Exchange", &err)
	m := r.mesh
	args.sanitize()
	m.recordHeard(args.Address)
	m.heardFrom(args.Address, args.Incarnation)
	m.applyReport(args)
	if kinds := m.kindsBehind(args.Address, args); len(kinds) > 0 {
		if client, err := m.clients.Client(args.Address); err == nil {
			go func() {
				defer m.recoverPanic("catch-up", args.Address)
				for _, kind := range kinds {
					m.catchUp(context.Background(), client, kind)
				}
			}()
		}
	}
	if args.OfDomain {
		*reply = m.domainReport()
	} else {
		*reply = m.ownReport(args.Address)
	}
	m.addPlacements(args, reply)
	m.promise(args, reply)
	m.addStreams(args, reply)
	return nil
}

// Changes returns the changes of a kind after a position.
func (r *receiver) Changes(args *ChangesArgs, reply *Changes) (err error) {
	defer r.mesh.recoverCall("Changes", &err)
	f, err := r.feed(args.Kind)
	if err != nil {
		return err
	}
	reply.Stamp = f.Stamp()
	changes, at, known := f.Changes(store.Position{Era: args.Era, Revision: args.After})
	reply.Changes, reply.Era, reply.At, reply.Known = changes, at.Era, at.Revision, known
	if !reply.Known {
		reply.Changes = nil
	}
	return nil
}

// feed returns the feed of a kind.
func (r *receiver) feed(kind int) (*feed.Feed, error) {
	if kind < 0 || kind >= len(r.mesh.opts.Feeds) {
		return nil, errors.Newf("gossip: unknown kind %d", kind)
	}
	return r.mesh.opts.Feeds[kind], nil
}

// Held returns the configuration in force.
func (r *receiver) Held(_ *HeldArgs, reply *Held) (err error) {
	defer r.mesh.recoverCall("Held", &err)
	reply.Records = r.mesh.opts.Held.Records()
	return nil
}

// Fetch returns the content of a kind.
func (r *receiver) Fetch(args *FetchArgs, reply *Content) (err error) {
	defer r.mesh.recoverCall("Fetch", &err)
	f, err := r.feed(args.Kind)
	if err != nil {
		return err
	}
	reply.Stamp = f.Stamp()
	reply.Snapshot = f.Snapshot()
	if args.MaxBytes > 0 && reply.Snapshot.Bytes() > args.MaxBytes {
		reply.Snapshot, reply.TooLarge = feed.Snapshot{}, true
	}
	return nil
}
