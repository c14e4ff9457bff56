package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
	"github.com/apex/log"
)

const (
	// partsWatchTimeout is long, because routers learn of blocked parts from each other; the
	// list in the store is for those that start when no other one runs.
	partsWatchTimeout = 10 * time.Second
	// listPartsDelay is the mean time for which the list in the store must differ from what
	// a router that watches the store knows until it writes the list, and
	// listPartsBackupDelay that of the other routers.
	listPartsDelay       = 600 * time.Millisecond
	listPartsBackupDelay = 5 * time.Second
	// unlistPartsDelay is added if the list has parts that are not blocked any more: the
	// others may not have heard of it yet.
	unlistPartsDelay = 3 * time.Second
)

// partList compares the list of blocked prompt parts in the store with what this router
// knows. Its methods may be called concurrently.
type partList struct {
	mu     sync.Mutex
	stored []gateway.BlockedPart // as last read
	read   bool                  // whether it has been read
	due    time.Time             // when to write it; zero if it does not differ
}

// set records the list as read from the store.
func (l *partList) set(stored []gateway.BlockedPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored, l.read, l.due = stored, true, time.Time{}
}

// needsWrite reports whether the list is to be written now. watcher tells whether this
// router watches the store.
func (l *partList) needsWrite(now time.Time, blocked []gateway.BlockedPart, watcher bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.read || slices.Equal(l.stored, blocked) {
		l.due = time.Time{}
		return false
	}
	if !l.due.IsZero() {
		return !now.Before(l.due)
	}
	delay := listPartsDelay
	if !watcher {
		delay = listPartsBackupDelay
	}
	delay = delay/2 + rand.N(delay)
	if slices.ContainsFunc(l.stored, func(p gateway.BlockedPart) bool { return !isListed(blocked, p.Part) }) {
		delay += unlistPartsDelay
	}
	l.due = now.Add(delay)
	return false
}

func isListed(list []gateway.BlockedPart, part uint64) bool {
	return slices.ContainsFunc(list, func(p gateway.BlockedPart) bool { return p.Part == part })
}

// applyBlockedParts blocks the parts of the list in the store. If it cannot be decoded, it
// is left as it is.
func (h *Host) applyBlockedParts(s feed.Snapshot) {
	parts, err := platform.DecodeBlockedParts(s.Records)
	if err != nil {
		h.log.WithError(err).WithField("revision", s.Revision).Error("cannot decode the list of blocked prompt parts")
		return
	}
	h.partList.set(parts)
	h.gateway.Crashes().SetStored(parts)
	h.log.WithFields(log.Fields{"era": s.Era, "revision": s.Revision, "parts": len(parts)}).Info("list of blocked prompt parts changed")
}

// listBlockedParts writes the list of blocked parts to the store when it has differed for
// some time from what this router knows. It runs until ctx ends.
func (h *Host) listBlockedParts(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, maintainInterval)
		blocked := h.gateway.Crashes().ListBlocked()
		if !h.partList.needsWrite(time.Now(), blocked, h.mesh.Watcher()) {
			continue
		}
		value, err := platform.EncodeBlockedParts(blocked)
		if err == nil {
			_, err = h.store.WriteRecord(ctx, platform.KindBlockedParts, platform.NameBlockedParts, value)
		}
		if err != nil {
			h.log.WithError(err).Warn("cannot write the list of blocked prompt parts; retrying")
			sleep(ctx, registerRetryDelay)
			continue
		}
		h.partList.set(blocked)
		h.log.WithField("parts", len(blocked)).Info("list of blocked prompt parts written")
	}
}
