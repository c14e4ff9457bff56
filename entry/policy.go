package entry

import (
	"time"

	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/platform"
)

// Figures of the policy that the platform's settings do not give.
const (
	// promptMultiple (of the mean load) and promptSlack (requests) say when a
	// prompt leaves its home. In a quiet pool the slack keeps prompts at home; in
	// a crowd a multiple far above 1 would fill the slots of some engines while
	// others have free ones. docs/PLATFORM.md has the trials.
	promptMultiple = 1.05
	promptSlack    = 8
	// ceilingSlack stays below the 3 requests that the platform allows beyond
	// the multiple of the mean, since loads are known with a lag and several
	// routers send at once.
	ceilingSlack = 1
	// remoteLoad is the number of requests more at a local plain upstream at
	// which one of another failure domain is preferred.
	remoteLoad = 2
	// failingLoad is the number of requests more at the others at which an
	// upstream is preferred all of whose answers fail while the others' do not.
	// One that fails half of them is avoided until the others have ten more.
	failingLoad = 20
	// budgetShare of the platform's budget of repeats is used: routers that
	// restart begin with a full one.
	budgetShare = 0.6
	// ejectBase is the first time out of an upstream that failed.
	ejectBase = time.Second
	// ejectMax is the longest; the platform replaces what stays broken.
	ejectMax = 8 * time.Second
	// ejectReturn is the time in which one that returns takes its full share.
	ejectReturn = 500 * time.Millisecond
	// ejectForget is the time in which half of what is held is forgotten.
	ejectForget = 5 * time.Second
)

func policy(s *platform.Settings) gateway.Policy {
	return gateway.Policy{
		Prompt: place.PromptOptions{
			Multiple:     promptMultiple,
			Slack:        promptSlack,
			Ceiling:      s.Bounds.LoadMultiple,
			CeilingSlack: ceilingSlack,
		},
		Least:      place.LeastOptions{Remote: remoteLoad, Failing: failingLoad},
		RetryRatio: s.Bounds.RepeatShare * budgetShare,
		RetryExtra: s.Bounds.RepeatExtra * budgetShare,
		Eject:      eject.Options{Base: ejectBase, Max: ejectMax, Return: ejectReturn, Forget: ejectForget},
	}
}
