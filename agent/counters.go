package agent

import "expvar"

// counters are the agent's metrics. docs/OPERATIONS.md lists their names.
var counters = expvar.NewMap("agent")
