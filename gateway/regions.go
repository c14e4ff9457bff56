package gateway

import (
	"slices"

	"dandelionrill.example/fleet/catalog"
)

// reasonRegion is the reason of a refusal.
const reasonRegion = "no upstream of the service is in a region that the route and the customer allow"

// SetRegions replaces the regions of failure domains. The caller must not change the map
// afterwards.
func (g *Gateway) SetRegions(regions map[string]string) { g.regions.Store(&regions) }

// restricted reports whether the route or the customer of a request allow some regions only.
func (req *request) restricted() bool {
	return req.route != nil && len(req.route.Regions) > 0 || req.customer != nil && len(req.customer.Regions) > 0
}

// allowsRegion reports whether a request may be sent to an upstream by its region. Where
// both the route and the customer have a list, both must allow it. An upstream whose region
// is not known is in none.
func (g *Gateway) allowsRegion(req *request, u *catalog.Upstream) bool {
	if !req.restricted() {
		return true
	}
	region, known := (*g.regions.Load())[u.FailureDomain]
	if !known || region == "" {
		return false
	}
	if len(req.route.Regions) > 0 && !slices.Contains(req.route.Regions, region) {
		return false
	}
	return req.customer == nil || len(req.customer.Regions) == 0 || slices.Contains(req.customer.Regions, region)
}
