package prompts

// The engine of the users' deployments.
const (
	slots         = 64
	stepSeconds   = 0.00423
	perSlot       = 0.000000767   // seconds a step, for each request
	perContext    = 0.00000000857 // seconds a step, for each token in memory
	readPerSecond = 64200         // prompt tokens
	chunk         = 4096          // prompt tokens read between two tokens of others
	eventTokens   = 5
	fetchSetup    = 0.0017 // seconds
	fetchPerToken = 163840 * 8 / 1.1e12
)

// running is a request at an engine.
type running struct {
	*arrival
	unread   float64
	context  float64
	made     int
	eventAt  float64 // of the last event; of the arrival before the first
	first    float64 // seconds to the first event; 0 before it
	pauseMax float64
	parts    []part // to cache once they are read
}

// engine is one replica. Its cache is never full.
type engine struct {
	cached  map[uint64]float64 // when each part was read
	queue   []*running
	batch   []*running
	stepEnd float64 // 0 if it is idle
	reading *running
	chunk   float64
}

// load returns the requests at the engine.
func (e *engine) load() int { return len(e.queue) + len(e.batch) }

// held returns how many leading parts the cache has at a time.
func (e *engine) held(parts []part, at float64) int {
	for i, p := range parts {
		if read, ok := e.cached[p.key]; !ok || read > at {
			return i
		}
	}
	return len(parts)
}

// admit takes waiting requests into the batch, and begins a step if the engine
// is idle.
func (e *engine) admit(now float64) {
	for len(e.queue) > 0 && len(e.batch) < slots {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	if e.stepEnd == 0 && len(e.batch) > 0 {
		e.step(now)
	}
}

// step begins a step: a chunk of the first unread prompt and one token for each
// request whose prompt is read.
func (e *engine) step(now float64) {
	e.reading, e.chunk = nil, 0
	context := 0.0
	for _, r := range e.batch {
		context += r.context
		if e.reading == nil && r.unread > 0 {
			e.reading, e.chunk = r, min(r.unread, chunk)
		}
	}
	e.stepEnd = now + stepSeconds + perSlot*float64(len(e.batch)) + perContext*context + e.chunk/readPerSecond
}

// endStep ends the step and returns the requests that are complete.
func (e *engine) endStep() (done []*running) {
	now := e.stepEnd
	e.stepEnd = 0
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.unread == 0 && r.token(now) {
			done = append(done, r)
			continue
		}
		kept = append(kept, r)
	}
	e.batch = kept
	if r := e.reading; r != nil {
		if r.unread -= e.chunk; r.unread <= 0 {
			r.unread = 0
			for _, p := range r.parts {
				e.cached[p.key] = now
			}
		}
	}
	e.admit(now)
	return done
}

// token makes one token and tells whether it was the last.
func (r *running) token(now float64) bool {
	r.made++
	r.context++
	if r.made%eventTokens == 0 {
		if r.first == 0 {
			r.first = now - r.at
		} else {
			r.pauseMax = max(r.pauseMax, now-r.eventAt)
		}
		r.eventAt = now
	}
	return r.made >= r.tokens
}
