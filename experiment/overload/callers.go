package overload

import (
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/place"
)

// drop removes an attempt that runs or waits from its engine.
func (r *run) drop(j *job, now float64) {
	if j == nil || j.index < 0 && !j.queued {
		return
	}
	j.engine.remove(j, now)
	r.dispatch(j.engine, now)
}

// queueTimeout refuses a request that waited too long in the queue of its agent, unless
// its hedged attempt runs.
func (r *run) queueTimeout(j *job, now float64) {
	if !j.queued || j.request.ended || j.request.job != j {
		return
	}
	e := j.engine
	r.drop(j, now)
	if h := j.request.hedge; h != nil && h.index >= 0 {
		j.request.job, j.request.hedge = h, nil
		return
	}
	r.refuse(j.request, r.retryAfter(e, j.request, now), now)
}

func (r *run) answer(q *request, j *job, now float64) {
	j.engine.done.Add(toDuration(now))
	r.drop(j, now)
	r.drop(q.job, now)
	r.drop(q.hedge, now)
	q.ended = true
	if !r.measured(q) {
		return
	}
	r.answered++
	t := &r.tails[groupIndex(q)]
	t.all++
	t.firstTokens = append(t.firstTokens, q.firstToken)
}

// expire ends a try whose deadline has passed; the caller retries it.
func (r *run) expire(q *request, tries int, now float64) {
	if q.ended || q.tries != tries || q.job == nil {
		return
	}
	r.drop(q.job, now)
	r.drop(q.hedge, now)
	r.scheduleRetry(q, fixedRetryDelaySeconds, &r.expired, now)
}

// refuse refuses a try and tells the caller when to retry.
func (r *run) refuse(q *request, after time.Duration, now float64) {
	wait := after.Seconds()
	if r.opts.FixedRetryDelay {
		wait = fixedRetryDelaySeconds
	}
	r.scheduleRetry(q, wait, &r.refused, now)
}

func (r *run) scheduleRetry(q *request, wait float64, count *int, now float64) {
	q.job, q.hedge = nil, nil
	if q.tries < maxCallerTries {
		r.retriesPer100ms[int((now+wait)*10)]++
		r.schedule(now+wait+roundTripSeconds, func(now float64) { r.try(q, now) })
		return
	}
	q.ended = true
	if r.measured(q) {
		*count++
		t := &r.tails[groupIndex(q)]
		t.all++
		t.failed++
	}
}

// hedge sends a second attempt of a request that still waits for its first token.
func (r *run) hedge(q *request, tries int, rt *router, now float64) {
	if q.ended || q.tries != tries || q.job == nil || !q.job.queued || !rt.budget(r.opts, q).Withdraw() {
		return
	}
	if i, ok := rt.picker.Pick(place.Query{Key: r.rng.Uint64(), Tried: []int{q.job.engine.index}, Rand: r.rng.Uint64()}); ok {
		q.hedge, _ = r.submit(r.engines[i], q, now, false)
	}
}

func groupIndex(q *request) int {
	if q.customer == "0" {
		return 1
	}
	return 0
}

func (r *run) result() Result {
	ended := float64(r.answered + r.refused + r.expired)
	res := Result{
		Goodput:  float64(r.answered) / (durationSeconds - warmUpSeconds) / capacity,
		Attempts: float64(r.attempts) / float64(max(1, r.answered)),
		Refused:  float64(r.refused) / ended,
		Expired:  float64(r.expired) / ended,
		Others:   r.tails[0].summary(), Surging: r.tails[1].summary(),
	}
	res.MaxRunning = r.maxRunning
	for _, n := range r.retriesPer100ms {
		res.MaxRetriesPer100ms = max(res.MaxRetriesPer100ms, n)
	}
	return res
}

func (t tail) summary() Tail {
	if len(t.firstTokens) == 0 {
		return Tail{Refused: 1}
	}
	slices.Sort(t.firstTokens)
	return Tail{FirstTokenP99: t.firstTokens[len(t.firstTokens)*99/100], Refused: float64(t.failed) / float64(t.all)}
}
