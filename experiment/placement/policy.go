package placement

import "dandelionrill.example/fleet/decide/place"

// Policy is a placement policy under comparison.
type Policy struct {
	Name              string
	Settings          place.Settings
	TokenShare        float64 // share of returning requests that carry their chat token
	CacheDirectory    bool    // routers locate cached chats by cache events, not by tokens
	Unbounded         bool    // agents admit every request
	PreviousEngine    bool    // tokens also name the engine used before the last one
	IgnoreStaleTokens bool    // tokens older than the oldest entry of the engine's cache are ignored
	LoadMultiple      float64 // overrides the deployment's load multiple; 0 keeps it
	NoLoadReports     bool    // routers learn loads only from replies, not from load reports
}

const (
	unboundedMultiple = 1e9
	useLoadMultiple   = -1.0 // placeholder for the deployment's load multiple
)

// resolve replaces useLoadMultiple by the deployment's load multiple.
func (p Policy) resolve(d Deployment) Policy {
	if p.Settings.HomeLoadMultiple == useLoadMultiple {
		p.Settings.HomeLoadMultiple = d.LoadMultiple
	}
	if p.Settings.NewChatLoadMultiple == useLoadMultiple {
		p.Settings.NewChatLoadMultiple = d.LoadMultiple
	}
	return p
}

const (
	byHash = place.OrderHash
	byPair = place.OrderHashPair
	byTwo  = place.OrderTwoChoices
	byLoad = place.OrderLeastLoaded
)

func newPolicy(name string, tokenShare, homeMultiple, freshMultiple float64, fresh, displaced place.Order) Policy {
	return Policy{Name: name, TokenShare: tokenShare, Settings: place.Settings{
		HomeLoadMultiple: homeMultiple, NewChatLoadMultiple: freshMultiple, NewChatOrder: fresh, FallbackOrder: displaced,
	}}
}

// DefaultPolicy returns the policy that the fleet uses by default.
func DefaultPolicy() Policy {
	return Policy{Name: "chosen: token, home left to its agent, hash, displaced to hash pair", TokenShare: 1, Settings: place.DefaultSettings()}
}

// Policies returns the policies to compare.
func Policies() []Policy {
	plain := newPolicy("plain consistent hashing", 0, unboundedMultiple, unboundedMultiple, byHash, byHash)
	plain.Unbounded = true
	events := newPolicy("cache events, two choices", 0, useLoadMultiple, 0, byTwo, byTwo)
	events.CacheDirectory = true
	remote := newPolicy("token, two choices, remote cost 0.2", 1, useLoadMultiple, 0, byTwo, byTwo)
	remote.Settings.RemoteLoadMultiple = 0.2
	repliesOnly := DefaultPolicy()
	repliesOnly.Name, repliesOnly.NoLoadReports = "chosen, loads from replies only", true
	previousEngine := DefaultPolicy()
	previousEngine.Name, previousEngine.PreviousEngine = "chosen, token with the engine before", true
	ignoreStale := DefaultPolicy()
	ignoreStale.Name, ignoreStale.IgnoreStaleTokens = "chosen, tokens within the cache's age", true
	halfTokens := DefaultPolicy()
	halfTokens.Name, halfTokens.TokenShare = "chosen, token of half the callers", 0.5
	return []Policy{
		plain,
		newPolicy("bounded-load hashing", 0, 0, 0, byHash, byHash),
		newPolicy("two choices", 0, 0, 0, byTwo, byTwo),
		newPolicy("least loaded", 0, 0, 0, byLoad, byLoad),
		events,
		newPolicy("token, hash (first proposal)", 1, useLoadMultiple, 0, byHash, byHash),
		newPolicy("token, hash, displaced by two choices", 1, useLoadMultiple, 0, byHash, byTwo),
		newPolicy("token, hash, displaced to least loaded", 1, useLoadMultiple, 0, byHash, byLoad),
		newPolicy("token, hash pair", 1, useLoadMultiple, 0, byPair, byPair),
		newPolicy("token, two choices", 1, useLoadMultiple, 0, byTwo, byTwo),
		newPolicy("token, least loaded", 1, useLoadMultiple, 0, byLoad, byLoad),
		newPolicy("token, two choices, home limit 1.1", 1, 1.1, 0, byTwo, byTwo),
		newPolicy("token, hash, fresh limit 1.0", 1, useLoadMultiple, 1, byHash, byHash),
		remote,
		DefaultPolicy(),
		newPolicy("home left to its agent, displaced by hash", 1, 0, 0, byHash, byHash),
		newPolicy("home left to its agent, displaced by two choices", 1, 0, 0, byHash, byTwo),
		newPolicy("home left to its agent, fresh pair, displaced pair", 1, 0, 0, byPair, byPair),
		newPolicy("home left to its agent, fresh limit 1.0, displaced pair", 1, 0, 1, byHash, byPair),
		newPolicy("home left to its agent, fresh limit 1.1, displaced pair", 1, 0, 1.1, byHash, byPair),
		previousEngine, ignoreStale, repliesOnly,
		halfTokens,
		newPolicy("half of the tokens, hash (first proposal)", 0.5, useLoadMultiple, 0, byHash, byHash),
		newPolicy("half of the tokens, two choices", 0.5, useLoadMultiple, 0, byTwo, byTwo),
		newPolicy("half of the tokens, home left to its agent, displaced by hash", 0.5, 0, 0, byHash, byHash),
		newPolicy("half of the tokens, home left to its agent, fresh limit 1.1, displaced pair", 0.5, 0, 1.1, byHash, byPair),
	}
}

// Sweep returns the default policy, the first proposal and bounded-load hashing, each
// with a range of load multiples.
func Sweep() []Policy {
	var policies []Policy
	for _, p := range []Policy{
		DefaultPolicy(),
		newPolicy("token, hash (first proposal)", 1, useLoadMultiple, 0, byHash, byHash),
		newPolicy("bounded-load hashing", 0, 0, 0, byHash, byHash),
	} {
		for _, multiple := range []float64{1.05, 1.1, 1.25, 1.5, 2, 3} {
			p.LoadMultiple = multiple
			policies = append(policies, p)
		}
	}
	return policies
}
