package overload

import (
	"slices"
	"time"

	"dandelionrill.example/fleet/decide/place"
)

// drop takes an attempt off its engine.
func (r *run) drop(j *job, now float64) {
	if j == nil || j.index < 0 && !j.queued {
		return
	}
	j.engine.remove(j, now)
	r.dispatch(j.engine, now)
}

// giveUp refuses a request that waited too long at its agent.
func (r *run) giveUp(j *job, now float64) {
	if !j.queued || j.request.ended || j.request.job != j {
		return
	}
	e := j.engine
	r.drop(j, now)
	if h := j.request.hedge; h != nil && h.index >= 0 {
		j.request.job, j.request.hedge = h, nil
		return
	}
	r.refuse(j.request, r.comeBack(e, j.request, now), now)
}

func (r *run) answer(q *request, j *job, now float64) {
	j.engine.done.Add(clock(now))
	r.drop(j, now)
	r.drop(q.job, now)
	r.drop(q.hedge, now)
	q.ended = true
	if !r.measured(q) {
		return
	}
	r.answered++
	t := &r.tails[group(q)]
	t.all++
	t.tokens = append(t.tokens, q.firstToken)
}

// expire ends a try whose deadline passed; the caller tries again.
func (r *run) expire(q *request, tries int, now float64) {
	if q.ended || q.tries != tries || q.job == nil {
		return
	}
	r.drop(q.job, now)
	r.drop(q.hedge, now)
	r.again(q, fixedComeBack, &r.late, now)
}

// refuse tells the caller when to come back.
func (r *run) refuse(q *request, after time.Duration, now float64) {
	wait := after.Seconds()
	if r.opts.FixedReturn {
		wait = fixedComeBack
	}
	r.again(q, wait, &r.refused, now)
}

func (r *run) again(q *request, wait float64, count *int, now float64) {
	q.job, q.hedge = nil, nil
	if q.tries < callerTries {
		r.returns[int((now+wait)*10)]++
		r.at(now+wait+roundTrip, func(now float64) { r.try(q, now) })
		return
	}
	q.ended = true
	if r.measured(q) {
		*count++
		t := &r.tails[group(q)]
		t.all++
		t.failed++
	}
}

// hedge sends a second attempt of a request without a first token.
func (r *run) hedge(q *request, tries int, rt *router, now float64) {
	if q.ended || q.tries != tries || q.job == nil || !q.job.queued || !rt.budget(r.opts, q).Withdraw() {
		return
	}
	if i, ok := rt.picker.Pick(place.Query{Key: r.rng.Uint64(), Tried: []int{q.job.engine.index}, Rand: r.rng.Uint64()}); ok {
		q.hedge, _ = r.submit(r.engines[i], q, now, false)
	}
}

func group(q *request) int {
	if q.customer == "0" {
		return 1
	}
	return 0
}

func (r *run) result() Result {
	ended := float64(r.answered + r.refused + r.late)
	res := Result{
		Goodput:  float64(r.answered) / (duration - measuredFrom) / capacity,
		Attempts: float64(r.attempts) / float64(max(1, r.answered)),
		Refused:  float64(r.refused) / ended,
		Late:     float64(r.late) / ended,
		Others:   r.tails[0].tail(), Surging: r.tails[1].tail(),
	}
	res.Top = r.top
	for _, n := range r.returns {
		res.MaxReturn = max(res.MaxReturn, n)
	}
	return res
}

func (t tail) tail() Tail {
	if len(t.tokens) == 0 {
		return Tail{Refused: 1}
	}
	slices.Sort(t.tokens)
	return Tail{FirstTokenP99: t.tokens[len(t.tokens)*99/100], Refused: float64(t.failed) / float64(t.all)}
}
