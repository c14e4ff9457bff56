package router

// HeldBodyBytes returns the memory that bodies of requests take.
func (r *Router) HeldBodyBytes() int64 { return r.bodies.Used() }
