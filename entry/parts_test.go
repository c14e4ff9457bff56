package entry

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/store"
	"github.com/shoenig/test/must"
)

// All routers may be killed at once. A router that starts when no other one knows of a
// blocked part must know it from the store, which is not written to for each request.
func TestBlockedPartsSurviveAllRouters(t *testing.T) {
	s := newStoreFixture(t)
	s.publish(7)
	first := s.startHost(t, "r-1")
	second := s.startHost(t, "r-2", first.opts.Settings.PeersAddress)
	await(t, "empty list read", func() bool {
		return first.blockedParts.Stamp().Revision != 0 && second.blockedParts.Stamp().Revision != 0
	})
	part := gateway.PartID("bad")
	blocked := func(h *Host) bool {
		_, ok := h.gateway.Crashes().Blocked([]uint64{part})
		return ok
	}
	before := s.Counts().Put
	for upstream := range uint32(5) {
		first.gateway.Crashes().RecordCrash(upstream, []uint64{part})
	}
	for _, h := range []*Host{first, second} {
		await(t, "part blocked", func() bool { return blocked(h) })
	}
	for range 1000 {
		first.gateway.Crashes().RecordRefused(part)
	}
	await(t, "list written", func() bool { return len(first.blockedParts.Snapshot().Records) == 1 })
	// Each watcher may write once when the part is blocked and once when that is certain.
	const watchers, changes = 3, 2
	must.LessEq(t, before+watchers*changes, s.Counts().Put)
	alone := newStoreFixture(t) // no other router is known there
	alone.publish(7)
	alone.SetObject(platform.KindBlockedParts, platform.NameBlockedParts, first.blockedParts.Snapshot().Records[0].Value)
	third := alone.startHost(t, "r-3")
	await(t, "part blocked by the store's list", func() bool { return blocked(third) })
}

func TestBlockedPartsAreDecodedAsEncoded(t *testing.T) {
	parts := []gateway.BlockedPart{{Part: 1, Upstreams: 3}, {Part: 1 << 63, Upstreams: 5}}
	value, err := platform.EncodeBlockedParts(parts)
	must.NoError(t, err)
	decoded, err := platform.DecodeBlockedParts([]store.Record{{Name: "other", Value: []byte("x")}, {Name: platform.NameBlockedParts, Value: value}})
	must.NoError(t, err)
	must.Eq(t, parts, decoded)
	for _, malformed := range []string{"x", `{"parts":[{"part":"zz","upstreams":3}]}`, `{"parts":[{"part":"1"}]}`} {
		_, err := platform.DecodeBlockedParts([]store.Record{{Name: platform.NameBlockedParts, Value: []byte(malformed)}})
		must.Error(t, err)
	}
}

// The routers that watch the store write first, a part that is released is left to others
// to hear of, and what has been written meanwhile is not written again.
func TestListOfPartsIsWrittenOnce(t *testing.T) {
	one, two := []gateway.BlockedPart{{Part: 1, Upstreams: 3}}, []gateway.BlockedPart{{Part: 1, Upstreams: 3}, {Part: 2, Upstreams: 3}}
	now := time.Now()
	var watcher, other partList
	must.False(t, watcher.needsWrite(now.Add(time.Hour), one, true), must.Sprint("not read yet"))
	watcher.set(nil)
	other.set(nil)
	must.False(t, watcher.needsWrite(now, one, true))
	must.False(t, other.needsWrite(now, one, false))
	must.True(t, watcher.needsWrite(now.Add(2*listPartsDelay), one, true))
	must.False(t, other.needsWrite(now.Add(2*listPartsDelay), one, false))
	other.set(one)
	must.False(t, other.needsWrite(now.Add(time.Hour), one, false))
	watcher.set(two)
	must.False(t, watcher.needsWrite(now, one, true))
	must.False(t, watcher.needsWrite(now.Add(unlistPartsDelay), one, true))
	must.True(t, watcher.needsWrite(now.Add(unlistPartsDelay+2*listPartsDelay), one, true))
}
