package admit

import "time"

const (
	// drainAcceptPeriod is how long a draining process accepts what is expected to end in
	// time: the load balancer still sends it new callers, who cannot easily go elsewhere, until
	// two of its probes, one second apart, have failed.
	drainAcceptPeriod = 2750 * time.Millisecond
	// drainMinTime is the time that a request accepted in drainAcceptPeriod has at least.
	drainMinTime = time.Second
	// drainSpareFactor is how many times as long as lately a request whose end arrives after
	// drainAcceptPeriod may take.
	drainSpareFactor = 3
	// drainMinAnswers is how many requests must tell how long those of a kind take.
	drainMinAnswers = 5
	// drainMargin is kept free before the end of the shutdown.
	drainMargin = 600 * time.Millisecond
)

// Work describes a request during a graceful shutdown.
type Work struct {
	Timeout  time.Duration // 0 if none; negative if it is over
	Expected time.Duration // how long requests of its kind have taken lately; 0 if unknown
	Answers  int           // how many requests of its kind tell so
	// Streams is true if the answer is delivered as it arrives: at the end of the shutdown it is
	// cut, where another one is replaced by an error.
	Streams bool
}

// FitsDrain reports whether work that arrives elapsed after the start of a graceful
// shutdown, of which the process ends at limit, is accepted. After drainAcceptPeriod only
// callers with open connections remain, who find another process at once: then a request
// must end in time even if it takes its whole timeout.
func FitsDrain(w Work, elapsed, limit time.Duration) bool {
	left := limit - elapsed - drainMargin
	if elapsed <= drainAcceptPeriod && left >= max(drainMinTime, w.Expected) {
		return true
	}
	return w.fits(left)
}

// fits reports whether the work ends in the time that is left even if it takes its whole
// timeout.
func (w Work) fits(left time.Duration) bool { return w.Timeout > 0 && w.Timeout <= left }

// LatestInDrain returns until when the end of a request must have arrived that FitsDrain has
// accepted, and until when it must be passed on. Both count from the start of the shutdown, as
// elapsed does, at which w.Timeout is left. After drainAcceptPeriod the end of a request may
// still come if its answer is no stream, and its kind has lately taken much less than the time that
// is left, in a number of cases: its caller would have to send all of it again.
func LatestInDrain(w Work, elapsed, limit time.Duration) (arrival, send time.Duration) {
	if w.Timeout < 0 || w.fits(limit-elapsed-drainMargin) {
		return elapsed + w.Timeout, elapsed + w.Timeout
	}
	end := limit - drainMargin
	send = end - max(drainMinTime, w.Expected)
	arrival = min(drainAcceptPeriod, send)
	if !w.Streams && w.Answers >= drainMinAnswers {
		arrival = max(arrival, end-max(drainMinTime, drainSpareFactor*w.Expected))
	}
	return arrival, send
}
