package prompts

// Parameters of the engines in the users' deployments.
const (
	slots                  = 64
	stepSeconds            = 0.00423
	secondsPerSlot         = 0.000000767   // added to a step for each request in the batch
	secondsPerContextToken = 0.00000000857 // added to a step for each context token in memory
	prefillTokensPerSecond = 64200
	chunkTokens            = 4096 // prompt tokens prefilled in one step, between two tokens of other requests
	tokensPerEvent         = 5
	fetchSetupSeconds      = 0.0017
	fetchSecondsPerToken   = 163840 * 8 / 1.1e12
)

// running is a request that waits or runs at an engine.
type running struct {
	*arrival
	prefillLeft  float64
	context      float64
	tokensMade   int
	eventAt      float64 // time of the last event, or of the arrival before the first event
	firstAfter   float64 // seconds from arrival to the first event; 0 before it
	longestPause float64
	parts        []part // added to the cache once the prompt is prefilled
}

// engine is one replica. Its cache is never full.
type engine struct {
	cached     map[uint64]float64 // by key of the part, the time it was cached
	queue      []*running
	batch      []*running
	stepEnd    float64 // 0 if the engine is idle
	prefilling *running
	chunk      float64
}

// load returns the number of requests that wait or run at the engine.
func (e *engine) load() int { return len(e.queue) + len(e.batch) }

// cachedParts returns how many leading parts are cached at a time.
func (e *engine) cachedParts(parts []part, at float64) int {
	for i, p := range parts {
		if cachedAt, ok := e.cached[p.key]; !ok || cachedAt > at {
			return i
		}
	}
	return len(parts)
}

// admit moves waiting requests into the batch and starts a step if the engine is idle.
func (e *engine) admit(now float64) {
	for len(e.queue) > 0 && len(e.batch) < slots {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	if e.stepEnd == 0 && len(e.batch) > 0 {
		e.step(now)
	}
}

// step starts a step, which prefills a chunk of the first incomplete prompt and makes one
// token for each request whose prompt is complete.
func (e *engine) step(now float64) {
	e.prefilling, e.chunk = nil, 0
	context := 0.0
	for _, r := range e.batch {
		context += r.context
		if e.prefilling == nil && r.prefillLeft > 0 {
			e.prefilling, e.chunk = r, min(r.prefillLeft, chunkTokens)
		}
	}
	e.stepEnd = now + stepSeconds + secondsPerSlot*float64(len(e.batch)) + secondsPerContextToken*context + e.chunk/prefillTokensPerSecond
}

// endStep ends the step, starts the next one if there is work, and returns the requests
// that are complete.
func (e *engine) endStep() (done []*running) {
	now := e.stepEnd
	e.stepEnd = 0
	kept := e.batch[:0]
	for _, r := range e.batch {
		if r.prefillLeft == 0 && r.token(now) {
			done = append(done, r)
			continue
		}
		kept = append(kept, r)
	}
	e.batch = kept
	if r := e.prefilling; r != nil {
		if r.prefillLeft -= e.chunk; r.prefillLeft <= 0 {
			r.prefillLeft = 0
			for _, p := range r.parts {
				e.cached[p.key] = now
			}
		}
	}
	e.admit(now)
	return done
}

// token records one token and reports whether it was the last.
func (r *running) token(now float64) bool {
	r.tokensMade++
	r.context++
	if r.tokensMade%tokensPerEvent == 0 {
		if r.firstAfter == 0 {
			r.firstAfter = now - r.at
		} else {
			r.longestPause = max(r.longestPause, now-r.eventAt)
		}
		r.eventAt = now
	}
	return r.tokensMade >= r.answerTokens
}
