package load

import "expvar"

// counters are published by expvar under "load".
var counters = expvar.NewMap("load")
