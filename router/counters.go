package router

import "expvar"

// counters are the router's metrics. docs/OPERATIONS.md lists their names.
var counters = expvar.NewMap("router")
