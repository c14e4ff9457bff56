package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/platform"
	"github.com/shoenig/test/must"
)

// Pattern: four times the usual crowd, a few documents much asked for. Engines
// process 64 requests at once and queue the rest, so that first tokens wait. As
// long as the pool has slots to spare, no engine may be led beyond its own.
func TestCrowdStaysWithinTheSlotsOfEngines(t *testing.T) {
	const (
		engines, slots = 12, 64
		busy           = engines * slots * 7 / 10 // requests in progress
		steps          = 20_000
	)
	opts := policy(&platform.Settings{Bounds: platform.Bounds{LoadMultiple: 2}}).Prompt
	random := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(random, 1.3, 4, 60)
	replicas := make([]place.Replica, engines)
	for i := range replicas {
		replicas[i] = place.Replica{Seed: place.Key(fmt.Sprint("engine-", i)), Weight: 1}
	}
	held := make([]map[uint64]bool, engines)
	for i := range held {
		held[i] = make(map[uint64]bool)
	}
	var running []int // engines of the requests in progress
	for range steps {
		if len(running) >= busy { // one ends, whichever
			ends := random.IntN(len(running))
			replicas[running[ends]].Load--
			running[ends] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		document := zipf.Uint64()
		for i := range replicas {
			replicas[i].Held = 0
			if held[i][document] {
				replicas[i].Held = 1
			}
		}
		prompt := place.Prompt{Key: place.Key(fmt.Sprint("document-", document)), Parts: 1}
		chosen := place.ChoosePrompt(opts, prompt, replicas).Index
		held[chosen][document] = true
		replicas[chosen].Load++
		running = append(running, chosen)
		must.LessEq(t, slots, replicas[chosen].Load, must.Sprintf("engine %d", chosen))
	}
}
