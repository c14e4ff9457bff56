package placement

import "dandelionrill.example/fleet/decide/place"

// Policy is one way to place requests.
type Policy struct {
	Name         string
	Settings     place.Settings
	TokenShare   float64 // of the returning requests that bring their chat token
	Directory    bool    // routers follow cache events instead of tokens
	NoBound      bool    // agents admit everything
	PreviousHost bool    // tokens also name the engine before
	Horizon      bool    // tokens older than the engine's cache are left out
	Multiple     float64 // replaces the deployment's load multiple; 0 does not
	NoLoads      bool    // routers know no loads but from replies
}

const (
	unbounded = 1e9
	atBound   = -1.0 // stands for the deployment's load multiple
)

// resolve replaces atBound by the deployment's load multiple.
func (p Policy) resolve(d Deployment) Policy {
	if p.Settings.HomeMultiple == atBound {
		p.Settings.HomeMultiple = d.Multiple
	}
	if p.Settings.FreshMultiple == atBound {
		p.Settings.FreshMultiple = d.Multiple
	}
	return p
}

const (
	byHash = place.OrderHash
	byPair = place.OrderHashPair
	byTwo  = place.OrderTwoChoices
	byLoad = place.OrderLeastLoaded
)

func policy(name string, tokens, home, freshMultiple float64, fresh, displaced place.Order) Policy {
	return Policy{Name: name, TokenShare: tokens, Settings: place.Settings{
		HomeMultiple: home, FreshMultiple: freshMultiple, Fresh: fresh, Displaced: displaced,
	}}
}

// Chosen is the policy that the fleet runs by default.
func Chosen() Policy {
	return Policy{Name: "chosen: token, home left to its agent, hash, displaced to hash pair", TokenShare: 1, Settings: place.DefaultSettings()}
}

// Policies returns the policies that are compared.
func Policies() []Policy {
	plain := policy("plain consistent hashing", 0, unbounded, unbounded, byHash, byHash)
	plain.NoBound = true
	events := policy("cache events, two choices", 0, atBound, 0, byTwo, byTwo)
	events.Directory = true
	remote := policy("token, two choices, remote cost 0.2", 1, atBound, 0, byTwo, byTwo)
	remote.Settings.RemoteCost = 0.2
	blind := Chosen()
	blind.Name, blind.NoLoads = "chosen, loads from replies only", true
	previous := Chosen()
	previous.Name, previous.PreviousHost = "chosen, token with the engine before", true
	horizon := Chosen()
	horizon.Name, horizon.Horizon = "chosen, tokens within the cache's age", true
	half := Chosen()
	half.Name, half.TokenShare = "chosen, token of half the callers", 0.5
	return []Policy{
		plain,
		policy("bounded-load hashing", 0, 0, 0, byHash, byHash),
		policy("two choices", 0, 0, 0, byTwo, byTwo),
		policy("least loaded", 0, 0, 0, byLoad, byLoad),
		events,
		policy("token, hash (first proposal)", 1, atBound, 0, byHash, byHash),
		policy("token, hash, displaced by two choices", 1, atBound, 0, byHash, byTwo),
		policy("token, hash, displaced to least loaded", 1, atBound, 0, byHash, byLoad),
		policy("token, hash pair", 1, atBound, 0, byPair, byPair),
		policy("token, two choices", 1, atBound, 0, byTwo, byTwo),
		policy("token, least loaded", 1, atBound, 0, byLoad, byLoad),
		policy("token, two choices, home limit 1.1", 1, 1.1, 0, byTwo, byTwo),
		policy("token, hash, fresh limit 1.0", 1, atBound, 1, byHash, byHash),
		remote,
		Chosen(),
		policy("home left to its agent, displaced by hash", 1, 0, 0, byHash, byHash),
		policy("home left to its agent, displaced by two choices", 1, 0, 0, byHash, byTwo),
		policy("home left to its agent, fresh pair, displaced pair", 1, 0, 0, byPair, byPair),
		policy("home left to its agent, fresh limit 1.0, displaced pair", 1, 0, 1, byHash, byPair),
		policy("home left to its agent, fresh limit 1.1, displaced pair", 1, 0, 1.1, byHash, byPair),
		previous, horizon, blind,
		half,
		policy("half of the tokens, hash (first proposal)", 0.5, atBound, 0, byHash, byHash),
		policy("half of the tokens, two choices", 0.5, atBound, 0, byTwo, byTwo),
		policy("half of the tokens, home left to its agent, displaced by hash", 0.5, 0, 0, byHash, byHash),
		policy("half of the tokens, home left to its agent, fresh limit 1.1, displaced pair", 0.5, 0, 1.1, byHash, byPair),
	}
}

// Sweep returns the chosen policy, the first proposal and bounded-load hashing
// over load multiples.
func Sweep() []Policy {
	var policies []Policy
	for _, p := range []Policy{
		Chosen(),
		policy("token, hash (first proposal)", 1, atBound, 0, byHash, byHash),
		policy("bounded-load hashing", 0, 0, 0, byHash, byHash),
	} {
		for _, multiple := range []float64{1.05, 1.1, 1.25, 1.5, 2, 3} {
			p.Multiple = multiple
			policies = append(policies, p)
		}
	}
	return policies
}
