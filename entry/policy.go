package entry

import (
	"time"

	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
)

// Parameters of the policy that the platform's settings do not specify.
const (
	// promptLoadMultiple (of the mean load) and promptSlackRequests set the load
	// at which a prompt is no longer routed to its home. Under low load the slack
	// keeps prompts at their home; under high load a multiple far above 1 would
	// fill the slots of some engines while others have free ones. See
	// docs/PLATFORM.md.
	promptLoadMultiple  = 1.05
	promptSlackRequests = 8
	// ceilingSlackRequests is less than the 3 requests that the platform allows
	// beyond the multiple of the mean, since loads are known with a delay and
	// several routers send at the same time.
	ceilingSlackRequests = 0
	// remoteLoadRequests is how many more requests a plain upstream in this
	// failure domain must have in progress before one in another failure domain is
	// preferred.
	remoteLoadRequests = 2
	// failingLoadRequests is how many more requests the other upstreams must have
	// in progress before an upstream is preferred that fails all its answers while
	// the others fail none. One that fails half of them is avoided until the
	// others have ten more.
	failingLoadRequests = 20
	// retryBudgetShare is the share of the platform's retry budget that is used:
	// routers that restart begin with a full budget.
	retryBudgetShare = 0.6
	// upstreamQueueShare is the queue at each plain upstream for which routers still send. With
	// a smaller one, a fleet of 21 routers left slots idle and refused more requests.
	upstreamQueueShare = 1.5
	// firstEjection is the duration of the first ejection of an upstream that
	// failed.
	firstEjection = time.Second
	// maxEjection is the longest ejection; the platform replaces upstreams that
	// stay broken.
	maxEjection = 8 * time.Second
	// ejectionRampUp is the time in which a returning upstream's weight rises to
	// its full share.
	ejectionRampUp = 500 * time.Millisecond
	// failureHalfLife is the time in which the penalty for failures decays by
	// half.
	failureHalfLife = 5 * time.Second
)

func policy(s *platform.Settings) gateway.Policy {
	return gateway.Policy{
		Prompt: place.PromptOptions{
			Multiple:     promptLoadMultiple,
			Slack:        promptSlackRequests,
			Ceiling:      s.Bounds.LoadMultiple,
			CeilingSlack: ceilingSlackRequests,
		},
		Least:      place.LeastOptions{RemoteCost: remoteLoadRequests, FailureCost: failingLoadRequests},
		RetryRatio: s.Bounds.RepeatShare * retryBudgetShare,
		RetryExtra: s.Bounds.RepeatExtra * retryBudgetShare,
		Queue:      s.Pressure,
		QueueShare: upstreamQueueShare,
		Eject:      eject.Options{Base: firstEjection, Max: maxEjection, RampUp: ejectionRampUp, HalfLife: failureHalfLife},
	}
}
