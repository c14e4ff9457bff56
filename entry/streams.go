package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
)

const (
	// storeStreamsInterval is the mean time between two writes of the records of recent streams
	// by one router that watches the store. Streams that began since the last write of all of
	// them are lost if all routers end.
	storeStreamsInterval = 1500 * time.Millisecond
	// storeStreamsDelay is the time from a change of the upstreams of several versions to the
	// write of the records: the streams that other routers have begun until then are known.
	storeStreamsDelay = 100 * time.Millisecond
	// storeStreamsMinInterval is the least time between two writes of one router.
	storeStreamsMinInterval = 500 * time.Millisecond
	// storedStreamsAge is how long ago the streams that are written were begun or renewed. A
	// stream in progress is renewed within that time.
	storedStreamsAge = 20 * time.Second
	// maxStoredStreams limits the records of one object, to some 180 KB.
	maxStoredStreams = 16384
	// restoredStreamsAge is the age up to which records in the store are of use. It allows for
	// clocks that differ by some seconds.
	restoredStreamsAge = gateway.StreamMaxAge + 10*time.Second
	// obsoleteStreamsAge is the age from which an object that its writer has left behind is
	// emptied by others.
	obsoleteStreamsAge = 10 * time.Minute
	// streamReportTime is the time in which a router tells those that watch the store of a stream
	// that it has begun, with a margin.
	streamReportTime = 2 * time.Second
	// streamsRestoreWait is how long a lookup waits for the records of a router that has just
	// started.
	streamsRestoreWait = 100 * time.Millisecond
)

// storeStreams keeps the records of recent streams in the store, for a fleet that is killed as
// a whole, while a service has several versions, and those of the upstreams that can have begun
// others. The routers that watch the store write what all routers tell each other, so that the
// calls do not grow with the fleet. It runs until ctx ends.
func (h *Host) storeStreams(ctx context.Context) {
	var written platform.StoredStreams
	changed := false // the upstreams, since the last write
	for ctx.Err() == nil {
		changed = h.awaitStreamsDue(ctx, written.At) || changed
		if !h.mesh.Watcher() || !h.gateway.SeveralVersions() {
			continue
		}
		current := platform.StoredStreams{
			Router: h.opts.Settings.Host, At: time.Now(),
			Streams: h.gateway.Streams().Recent(storedStreamsAge, maxStoredStreams), Upstreams: h.gateway.PastUpstreams(),
			Sessions: h.gateway.SessionServices(),
		}
		outdated := changed || current.At.Sub(written.At) > storedStreamsAge || !slices.Equal(current.Streams, written.Streams)
		if outdated && h.writeStreams(ctx, current) {
			written, changed = current, false
		}
	}
}

// awaitStreamsDue waits until the records of recent streams may have to be written, and reports
// whether the upstreams of a service with several versions have changed. A stream that began at
// an upstream that has left can be told from others by its record alone.
func (h *Host) awaitStreamsDue(ctx context.Context, written time.Time) (changed bool) {
	timer := time.NewTimer(storeStreamsInterval/2 + rand.N(storeStreamsInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.versionsChanged:
		sleep(ctx, max(storeStreamsDelay, storeStreamsMinInterval-time.Since(written)))
		return true
	}
	return false
}

// writeStreams writes the object of a router, and reports whether it did.
func (h *Host) writeStreams(ctx context.Context, s platform.StoredStreams) bool {
	value, err := platform.EncodeStreams(s)
	if err == nil {
		_, err = h.store.WriteRecord(ctx, platform.KindStreams, s.Router, value)
	}
	if err != nil && ctx.Err() == nil {
		h.log.WithError(err).WithField("router", s.Router).Warn("cannot write the records of recent streams")
	}
	return err == nil
}

// restoreStreams reads the records of recent streams that routers wrote before this one
// started. Lookups wait for the first attempt only.
func (h *Host) restoreStreams(ctx context.Context) {
	tried := func() { h.streamsTriedOnce.Do(func() { close(h.streamsTried) }) }
	defer tried()
	if h.opts.Settings.FirstStart {
		h.streamsRestored.Store(true)
		return
	}
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < gateway.StreamMaxAge; sleep(ctx, registerRetryDelay) {
		records, _, err := h.store.ListKind(ctx, platform.KindStreams)
		if err != nil {
			h.log.WithError(err).Warn("cannot read the records of recent streams; retrying")
			tried()
			continue
		}
		stored, findings := platform.DecodeStreams(records)
		h.logInvalidEntries("streams", findings)
		h.applyStreams(ctx, stored)
		h.streamsRestored.Store(true)
		return
	}
}

// applyStreams records the streams and upstreams that are recent, and empties objects that are
// obsolete.
func (h *Host) applyStreams(ctx context.Context, stored []platform.StoredStreams) {
	restored := 0
	var recent []platform.StoredStreams
	for _, s := range stored {
		switch age := time.Since(s.At); {
		case age.Abs() <= restoredStreamsAge:
			recent = append(recent, s)
			h.gateway.RestoreSessionServices(s.Sessions)
			for _, stream := range s.Streams {
				h.gateway.Streams().Record(stream, gateway.OriginStore)
			}
			restored += len(s.Streams)
		case age.Abs() > obsoleteStreamsAge && len(s.Streams) > 0 && h.mesh.Watcher():
			h.writeStreams(ctx, platform.StoredStreams{Router: s.Router, At: time.Now()})
		}
	}
	upstreams := unrecordedUpstreams(recent, time.Now())
	h.gateway.RestorePastUpstreams(upstreams)
	h.log.WithFields(log.Fields{"routers": len(stored), "streams": restored, "upstreams": len(upstreams)}).Info("records of recent streams read")
}

// unrecordedUpstreams returns the upstreams that can have begun streams without a record, with their
// ages at a time: those that were listed until streamReportTime before the last write, or later. All
// streams of one that had left before are recorded.
func unrecordedUpstreams(stored []platform.StoredStreams, now time.Time) []gateway.PastUpstream {
	recorded := make(map[uint32]bool)
	for _, s := range stored {
		for _, u := range s.Upstreams {
			if u.Age >= streamReportTime && len(s.Streams) < maxStoredStreams {
				recorded[u.Key] = true
			}
		}
	}
	var unrecorded []gateway.PastUpstream
	for _, s := range stored {
		for _, u := range s.Upstreams {
			if !recorded[u.Key] {
				u.Age += max(0, now.Sub(s.At))
				unrecorded = append(unrecorded, u)
			}
		}
	}
	return unrecorded
}

// startedLately reports whether streams from before the start of this router can be taken up.
func (h *Host) startedLately() bool {
	return !h.opts.Settings.FirstStart && time.Since(h.started) < gateway.StreamMaxAge
}

// awaitStreams waits until the records of recent streams were read or cannot be read now, but
// only a short time.
func (h *Host) awaitStreams(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, streamsRestoreWait)
	defer cancel()
	select {
	case <-h.streamsTried:
	case <-ctx.Done():
	}
}
