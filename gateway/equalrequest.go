package gateway

import (
	"slices"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
)

// rankPreferred is rank with a preference for the version at which an equal request has begun: the
// record of that request then tells the version of both, and a caller can take either up. The
// preference ends where no upstream of the version is available and below its load limit.
func (g *Gateway) rankPreferred(req *request, list []*catalog.Upstream, replicas []place.Replica) (index, source int) {
	version, ok := g.preferredVersion(req, list)
	if !ok {
		return g.rank(req, list, replicas)
	}
	preferred := slices.Clone(replicas)
	for i, u := range list {
		if u.VersionSum != version {
			preferred[i].Tried = true
		}
	}
	index, source = g.rank(req, list, preferred)
	if index < 0 || preferred[index].Weight <= 0 || g.policy.Load().Prompt.IsFull(preferred, index) {
		return g.rank(req, list, replicas)
	}
	copy(replicas, preferred)
	return index, source
}

// preferredVersion returns the version at which requests equal to one that is about to begin a stream
// have begun, if upstreams of other versions are listed too.
func (g *Gateway) preferredVersion(req *request, list []*catalog.Upstream) (sum uint32, ok bool) {
	if part, _ := g.cacheQuery(req); part == 0 || req.version.bound || !req.resumable() {
		return 0, false
	}
	differs := func(u *catalog.Upstream) bool { return u.VersionSum != list[0].VersionSum }
	if !slices.ContainsFunc(list, differs) {
		return 0, false
	}
	version, known := g.streams.Version(req.fingerprint(req.Parts))
	return version, known && version != SeveralVersions
}
