package gateway

import (
	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/place"
)

// boundVersion is the software version at which a stream has to go on, since what two
// versions, or two services, write does not fit together. The zero value allows all versions.
type boundVersion struct {
	sum   uint32 // short hash of the service and the version
	bound bool
}

// excludes reports whether the stream cannot go on at an upstream.
func (v boundVersion) excludes(u *catalog.Upstream) bool { return v.bound && u.VersionSum != v.sum }

// admitEjected gives weight to the ejected replicas that can be reached, and reports
// whether there are any: a stream that can go on only among few replicas is better sent
// to one whose answers failed than ended.
func admitEjected(replicas []place.Replica) bool {
	admitted := false
	for i := range replicas {
		r := &replicas[i]
		if r.Weight <= 0 && r.Suspect && !r.Tried && !r.Draining {
			r.Weight = 1
			admitted = true
		}
	}
	return admitted
}
