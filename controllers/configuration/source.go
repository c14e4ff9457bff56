package configuration

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

const (
	// callTimeout limits one call to the platform, waiting excluded.
	callTimeout = 5 * time.Second
	// minWatch is the least time between two watches that brought nothing.
	minWatch = time.Second
	// dutyInterval is the time between checks whether this router watches.
	dutyInterval = 2 * time.Second
)

// backoff paces calls to a platform that is out. Its longest wait is within the
// time in which a change is to be in force once the platform is back.
var backoff = schedule.Backoff{Min: 500 * time.Millisecond, Max: 8 * time.Second}

// confirmBackoff paces the calls of the many that do not watch.
var confirmBackoff = schedule.Backoff{Min: 2 * time.Second, Max: 2 * time.Minute}

// start asks several peers and the platform at once, and returns when the
// platform or all of the peers answered. The loops go on from there.
func (c *Controller) start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	peers := make(chan struct{})
	c.calls.Go(func() {
		defer close(peers)
		c.askPeers(ctx)
	})
	if err := c.read(ctx); err != nil {
		<-peers
	}
}

// askPeers takes the greatest version of several peers.
func (c *Controller) askPeers(ctx context.Context) {
	if c.opts.Peers == nil {
		return
	}
	hosts := slices.Concat(c.opts.Seeds, c.topology().routers)
	hosts = hosts[:min(len(hosts), startPeers)]
	var asked sync.WaitGroup
	for _, host := range hosts {
		asked.Go(func() {
			if peer, err := c.opts.Peers.Peer(host); err == nil {
				_ = c.fetch(ctx, host, peer)
			}
		})
	}
	asked.Wait()
}

// read takes the platform's version without waiting for a change.
func (c *Controller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.PlatformCalls.Add(1)
	object, err := c.opts.Store.Get(ctx, ObjectKey)
	if err != nil {
		return err
	}
	return c.take(object)
}

// take puts the platform's object in force if its version is greater. The
// platform's version is the version of the configuration.
func (c *Controller) take(object store.Object) error {
	current := c.opts.Board.ConfigVersion()
	if object.Version < current {
		c.Behind.Add(1)
		return nil
	}
	if object.Version > current {
		cfg, err := config.Decode(object.Value)
		if err != nil {
			c.unusable.Store(object.Version)
			c.refuse(object.Version, string(board.OriginPlatform), err)
			return err
		}
		cfg.Version = object.Version
		c.adopt(cfg, string(board.OriginPlatform))
	}
	c.noteConfirmed(object.Version, 0)
	return nil
}

// watch keeps a waiting watch while it is this router's turn.
func (c *Controller) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !c.topology().watches {
			schedule.Sleep(ctx, schedule.Jitter(dutyInterval, c.opts.Random()))
			continue
		}
		began := c.opts.Board.Now()
		err := c.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		failures = c.paceWatch(ctx, err, failures, c.opts.Board.Now()-began)
	}
}

func (c *Controller) watchOnce(ctx context.Context) error {
	wait := schedule.Jitter(c.opts.WatchWait, c.opts.Random()) * 2 / 3
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	c.PlatformCalls.Add(1)
	after := max(c.opts.Board.ConfigVersion(), c.unusable.Load())
	object, err := c.opts.Store.Watch(ctx, ObjectKey, after, wait)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	_ = c.take(object)
	return nil
}

// paceWatch waits before the next watch and returns the failures in a row.
func (c *Controller) paceWatch(ctx context.Context, err error, failures int, took time.Duration) int {
	if err == nil {
		if failures > 0 {
			c.opts.Log.WithField("failures", failures).Info("platform available again")
		}
		if took < minWatch {
			schedule.Sleep(ctx, schedule.Jitter(minWatch/4, c.opts.Random()))
		}
		return 0
	}
	if failures == 0 {
		c.opts.Log.WithError(err).Warn("platform unavailable")
	}
	failures++
	schedule.Sleep(ctx, backoff.Wait(failures, store.RetryAfter(err), c.opts.Random()))
	return failures
}

// confirm asks the platform when nobody has confirmed the version for long, and
// at the start until a first version is there.
func (c *Controller) confirm(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if wait := c.untilConfirm(); wait > 0 {
			schedule.Sleep(ctx, wait)
			continue
		}
		err := c.confirmOnce(ctx)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		schedule.Sleep(ctx, c.confirmPace().Wait(failures, store.RetryAfter(err), c.opts.Random()))
	}
}

// untilConfirm returns the wait until a confirmation is due.
func (c *Controller) untilConfirm() time.Duration {
	age := c.Confirmed()
	if c.opts.Board.ConfigVersion() == 0 || age < 0 {
		return 0
	}
	return schedule.Jitter(c.opts.ConfirmInterval, c.opts.Random()) + c.opts.ConfirmInterval/2 - age
}

func (c *Controller) confirmPace() schedule.Backoff {
	if c.opts.Board.ConfigVersion() == 0 {
		return backoff
	}
	return confirmBackoff
}

// confirmOnce compares versions by a list, whose answer is short, and reads the
// value only if it is newer.
func (c *Controller) confirmOnce(ctx context.Context) error {
	if c.opts.Board.ConfigVersion() == 0 {
		return c.read(ctx)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.PlatformCalls.Add(1)
	objects, err := c.opts.Store.List(call, ObjectKey, 1)
	if err != nil {
		return err
	}
	if len(objects) == 0 || objects[0].Key != ObjectKey {
		return store.ErrNotFound
	}
	if objects[0].Version > c.opts.Board.ConfigVersion() {
		return c.read(ctx)
	}
	c.noteConfirmed(objects[0].Version, 0)
	if objects[0].Version < c.opts.Board.ConfigVersion() {
		c.Behind.Add(1)
		return errors.Newf("configuration: the platform is at version %d", objects[0].Version)
	}
	return nil
}
