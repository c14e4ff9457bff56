package gateway

import "time"

// recordBodyRead records that the body of a request has been read.
func (req *request) recordBodyRead() {
	if len(req.body) > 0 {
		req.bodyRead = time.Since(req.arrived)
	}
}

// recordDrainElapsed records for a request how long a graceful shutdown has lasted.
func (g *Gateway) recordDrainElapsed(req *request) {
	if drain := g.draining.Load(); drain != nil {
		req.drainElapsed = time.Since(drain.started)
	}
}
