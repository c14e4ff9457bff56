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
	// callTimeout limits one call to the platform, in addition to the time that
	// a watch waits for a change.
	callTimeout = 5 * time.Second
	// shortWatchDuration is the duration below which a successful watch is
	// followed by a pause, of shortWatchDuration/4 on average. The pause limits
	// the rate of watches that return at once.
	shortWatchDuration = time.Second
	// watcherCheckInterval is the time between checks whether this router has
	// become a watcher.
	watcherCheckInterval = 2 * time.Second
)

// backoff is used for calls to an unavailable platform. Its longest wait is
// shorter than the time within which a change must be in force after the
// platform has become available again.
var backoff = schedule.Backoff{Min: 500 * time.Millisecond, Max: 8 * time.Second}

// confirmBackoff is used for confirmation calls while a configuration is in
// force. These calls are made by the many processes that do not watch.
var confirmBackoff = schedule.Backoff{Min: 2 * time.Second, Max: 2 * time.Minute}

// bootstrap requests the configuration from several peers and from the platform
// in parallel. It returns when the platform or all of the peers have answered,
// or after PeerTimeout. The loops started by Run then continue from the version
// found.
func (c *Controller) bootstrap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.PeerTimeout)
	defer cancel()
	peersAnswered := make(chan struct{})
	c.peerCalls.Go(func() {
		defer close(peersAnswered)
		c.fetchFromPeers(ctx)
	})
	if err := c.readPlatform(ctx); err != nil {
		<-peersAnswered
	}
}

// fetchFromPeers fetches the configuration from several peers and adopts the
// greatest version.
func (c *Controller) fetchFromPeers(ctx context.Context) {
	if c.opts.Peers == nil {
		return
	}
	hosts := slices.Concat(c.opts.Seeds, c.topology().routers)
	hosts = hosts[:min(len(hosts), maxStartupPeers)]
	var fetches sync.WaitGroup
	for _, host := range hosts {
		fetches.Go(func() {
			if peer, err := c.opts.Peers.Peer(host); err == nil {
				_ = c.fetch(ctx, host, peer)
			}
		})
	}
	fetches.Wait()
}

// readPlatform reads the configuration from the platform, without waiting for a
// change, and adopts it.
func (c *Controller) readPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.PlatformCalls.Add(1)
	object, err := c.opts.Store.Get(ctx, ObjectKey)
	if err != nil {
		return err
	}
	return c.adoptObject(object)
}

// adoptObject adopts the object read from the platform if its version is
// greater than the one in force. The version of the object in the platform is
// the version of the configuration.
func (c *Controller) adoptObject(object store.Object) error {
	current := c.opts.Board.ConfigVersion()
	if object.Version < current {
		c.PlatformBehind.Add(1)
		return nil
	}
	if object.Version > current {
		cfg, err := config.Decode(object.Value)
		if err != nil {
			c.refusedObjectVersion.Store(object.Version)
			c.recordRefusal(object.Version, string(board.OriginPlatform), err)
			return err
		}
		cfg.Version = object.Version
		c.adopt(cfg, string(board.OriginPlatform))
	}
	c.recordConfirmation(object.Version, 0)
	return nil
}

// watchLoop watches the platform for changes while this router is one of the
// watchers.
func (c *Controller) watchLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !c.topology().isWatcher {
			schedule.Sleep(ctx, schedule.Jitter(watcherCheckInterval, c.opts.Random()))
			continue
		}
		startedAt := c.opts.Board.Now()
		err := c.watchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		failures = c.waitAfterWatch(ctx, err, failures, c.opts.Board.Now()-startedAt)
	}
}

func (c *Controller) watchOnce(ctx context.Context) error {
	// Between a third of WatchWait and all of it.
	wait := schedule.Jitter(c.opts.WatchWait, c.opts.Random()) * 2 / 3
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	c.PlatformCalls.Add(1)
	after := max(c.opts.Board.ConfigVersion(), c.refusedObjectVersion.Load())
	object, err := c.opts.Store.Watch(ctx, ObjectKey, after, wait)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	_ = c.adoptObject(object)
	return nil
}

// waitAfterWatch waits before the next watch and returns the number of
// consecutive failures.
func (c *Controller) waitAfterWatch(ctx context.Context, err error, failures int, elapsed time.Duration) int {
	if err == nil {
		if failures > 0 {
			c.opts.Log.WithField("failures", failures).Info("platform available again")
		}
		if elapsed < shortWatchDuration {
			schedule.Sleep(ctx, schedule.Jitter(shortWatchDuration/4, c.opts.Random()))
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

// confirmLoop reads from the platform until a first version is in force. From
// then on it asks the platform only when the version in force has not been
// confirmed for long.
func (c *Controller) confirmLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if wait := c.timeUntilConfirm(); wait > 0 {
			schedule.Sleep(ctx, wait)
			continue
		}
		err := c.confirmOnce(ctx)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		schedule.Sleep(ctx, c.currentConfirmBackoff().Wait(failures, store.RetryAfter(err), c.opts.Random()))
	}
}

// timeUntilConfirm returns the time until the next confirmation is due: when
// the last one is between one and two ConfirmIntervals old, at random. It is not
// positive if one is due now.
func (c *Controller) timeUntilConfirm() time.Duration {
	age := c.Confirmed()
	if c.opts.Board.ConfigVersion() == 0 || age < 0 {
		return 0
	}
	return schedule.Jitter(c.opts.ConfirmInterval, c.opts.Random()) + c.opts.ConfirmInterval/2 - age
}

func (c *Controller) currentConfirmBackoff() schedule.Backoff {
	if c.opts.Board.ConfigVersion() == 0 {
		return backoff
	}
	return confirmBackoff
}

// confirmOnce compares versions through a list call, whose answer is short, and
// reads the value only if the platform has a newer version.
func (c *Controller) confirmOnce(ctx context.Context) error {
	if c.opts.Board.ConfigVersion() == 0 {
		return c.readPlatform(ctx)
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
		return c.readPlatform(ctx)
	}
	c.recordConfirmation(objects[0].Version, 0)
	if objects[0].Version < c.opts.Board.ConfigVersion() {
		c.PlatformBehind.Add(1)
		return errors.Newf("configuration: the platform has version %d, which is older than the version in force", objects[0].Version)
	}
	return nil
}
