package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/revision"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/store/memory"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const header = "kind,id,key_hashes,weight,customer,service,host,failure_domain\n"

// sheetOf returns a sheet with one customer of the given weight.
func sheetOf(weight int) string {
	hash := sha256.Sum256([]byte("key"))
	return header + fmt.Sprintf("customer,rice,%s,%d\nrule,,,,*,*,*,*\n", hex.EncodeToString(hash[:]), weight)
}

type fakeFleet struct {
	versions map[string]uint64
	failures int32 // number of failing queries before processes report the current version
	queries  atomic.Int32
	store    *revision.Store
}

func (f *fakeFleet) Hosts(context.Context) ([]string, error) { return []string{"a", "b", "c"}, nil }

func (f *fakeFleet) Version(ctx context.Context, host string) ProcessVersion {
	if v, ok := f.versions[host]; ok {
		return ProcessVersion{Host: host, Version: v}
	}
	if f.queries.Add(1) <= f.failures {
		return ProcessVersion{Host: host, Err: errors.New("refused")}
	}
	cfg, err := f.store.Current(ctx)
	return ProcessVersion{Host: host, Version: cfg.Version, Err: err}
}

// runWithPlatform calls run with an empty in-memory platform and options for it,
// on a virtual clock.
func runWithPlatform(t *testing.T, run func(t *testing.T, p *memory.Platform, o Options)) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New()
		run(t, p, Options{Store: revision.New(revision.Options{Platform: p, HistoryVersions: 5}), Author: "ann"})
	})
}

func apply(t *testing.T, o Options, weight int) (string, error) {
	var out bytes.Buffer
	err := RunApply(t.Context(), o, strings.NewReader(sheetOf(weight)), &out)
	return out.String(), err
}

func TestApplyHistoryUndo(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, p *memory.Platform, o Options) {
		for weight := 1; weight <= 9; weight++ {
			out, err := apply(t, o, weight)
			must.NoError(t, err)
			must.StrContains(t, out, "accepted as version")
		}
		out, err := apply(t, o, 9)
		must.NoError(t, err)
		must.StrContains(t, out, "no change")
		var buf bytes.Buffer
		must.NoError(t, RunDiff(t.Context(), o, strings.NewReader(sheetOf(4)), &buf))
		must.StrContains(t, buf.String(), "~ customer rice: weight: 9 -> 4")
		before, err := o.Store.Current(t.Context())
		must.NoError(t, err)
		must.NoError(t, RunUndo(t.Context(), o, &buf))
		after, err := o.Store.Current(t.Context())
		must.NoError(t, err)
		must.Greater(t, before.Version, after.Version)
		must.NotEq(t, before.ChangeID, after.ChangeID)
		must.Eq(t, 8, after.Customers[0].Weight)
		buf.Reset()
		must.NoError(t, RunHistory(t.Context(), o, &buf))
		must.Eq(t, 1+6, strings.Count(buf.String(), "\n"), must.Sprint("the history is bounded"))
		buf.Reset()
		must.NoError(t, RunShow(t.Context(), o, &buf))
		o.Wait = time.Second
		must.NoError(t, RunApply(t.Context(), o, &buf, &bytes.Buffer{}), must.Sprint("a sheet written by RunShow can be applied"))
		p.SetUnavailable(true)
		_, err = apply(t, o, 2)
		must.ErrorIs(t, err, store.ErrUnavailable)
	})
}

// Two operators edit the same version concurrently. The one whose update comes
// second must get an error that reports who changed what, and none of its
// changes may be in force.
func TestConcurrentApplyFailsWithConflict(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, p *memory.Platform, o Options) {
		_, err := apply(t, o, 1)
		must.NoError(t, err)
		bob := o
		bob.Author = "bob"
		for _, updateNumber := range []int{1, 2} { // bob applies before the history entry is written, or after it
			base, err := o.Store.Current(t.Context())
			must.NoError(t, err)
			applyConcurrently := func() {
				_, err := apply(t, bob, 50+updateNumber)
				must.NoError(t, err)
			}
			if updateNumber == 2 {
				p.BeforeUpdate(func() { p.BeforeUpdate(applyConcurrently) })
			} else {
				p.BeforeUpdate(applyConcurrently)
			}
			_, err = apply(t, o, 90+updateNumber)
			var conflict *revision.ConflictError
			must.True(t, errors.As(err, &conflict))
			must.Eq(t, base.Version, conflict.Base)
			must.StrContains(t, err.Error(), "by bob")
			must.StrContains(t, err.Error(), fmt.Sprintf("weight: %d -> %d", base.Customers[0].Weight, 50+updateNumber))
			current, err := o.Store.Current(t.Context())
			must.NoError(t, err)
			must.Eq(t, "bob", current.Author)
		}
		o.Base = 1
		_, err = apply(t, o, 7)
		must.ErrorContains(t, err, "made on version 1", must.Sprint("a sheet based on an outdated version"))
	})
}

// Answers of the platform are lost after the update took effect. RunApply must
// find out that the version was published. In the second round another operator
// replaces the version before RunApply has found that out.
func TestApplyResolvesLostAnswers(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, p *memory.Platform, o Options) {
		_, err := apply(t, o, 1)
		must.NoError(t, err)
		p.LoseAnswers(2) // of the write to the history and of the update
		out, err := apply(t, o, 2)
		must.NoError(t, err)
		must.StrContains(t, out, "accepted as version")
		entries, err := o.Store.History(t.Context(), 10)
		must.NoError(t, err)
		must.Len(t, 2, entries, must.Sprint("the change must be published only once"))
		p.LoseAnswers(2)
		p.BeforeUpdate(func() { // write to the history, update, then the update that resolves the outcome
			p.BeforeUpdate(func() {
				p.BeforeUpdate(func() {
					p.BeforeUpdate(func() {
						_, err := apply(t, Options{Store: o.Store, Author: "bob"}, 4)
						must.NoError(t, err)
					})
				})
			})
		})
		out, err = apply(t, o, 3)
		must.NoError(t, err)
		entries, err = o.Store.History(t.Context(), 10)
		must.NoError(t, err)
		must.Eq(t, "bob", entries[0].Author)
		must.StrContains(t, out, fmt.Sprintf("accepted as version %d", entries[1].Version))
		p.BeforeUpdate(func() { p.BeforeUpdate(func() { p.SetUnavailable(true) }) })
		_, err = apply(t, o, 5)
		var unknown *revision.UnknownError
		must.True(t, errors.As(err, &unknown))
	})
}

func TestApplyWaitsAndListsProcessesBehind(t *testing.T) {
	runWithPlatform(t, func(t *testing.T, _ *memory.Platform, o Options) {
		o.Fleet = &fakeFleet{store: o.Store, failures: 4}
		out, err := apply(t, o, 1)
		must.NoError(t, err)
		must.StrContains(t, out, "in force at 0 of 3 processes")
		must.StrContains(t, out, "in force at 3 of 3 processes")
		o.Fleet = &fakeFleet{store: o.Store, versions: map[string]uint64{"b": 1}}
		_, err = apply(t, o, 2)
		var behind *NotInForceError
		must.True(t, errors.As(err, &behind))
		must.Eq(t, []ProcessVersion{{Host: "b", Version: 1}}, behind.Behind)
	})
}

// largeConfig returns a configuration with the given number of customers, and
// rulesEach rules per customer, on 11 models.
func largeConfig(customers, rulesEach int) *config.Config {
	random := rand.New(rand.NewPCG(1, 2))
	cfg := &config.Config{ChangeID: "c", Author: "planner"}
	for i := range 11 {
		cfg.Services = append(cfg.Services, config.Service{ID: fmt.Sprint("service-", i), Kind: config.KindModel, LoadMultiple: 1.25, Models: []string{fmt.Sprint("model-", i)}})
	}
	for i := range customers {
		c := config.Customer{ID: fmt.Sprint("customer-", i), Weight: 1 + random.IntN(9), MaxInFlight: random.IntN(500), MaxQueued: random.IntN(500)}
		for range 2 {
			hash := sha256.Sum256([]byte{byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32())})
			c.KeyHashes = append(c.KeyHashes, hex.EncodeToString(hash[:]))
		}
		cfg.Customers = append(cfg.Customers, c)
		for j := range rulesEach {
			cfg.Rules = append(cfg.Rules, config.Rule{Customer: c.ID, Service: fmt.Sprint("service-", j%11), Host: fmt.Sprint("host-", random.IntN(3700)), FailureDomain: fmt.Sprint("fd-", random.IntN(12)), Priority: random.IntN(9)})
		}
	}
	return cfg
}

func TestEncodedSizeOfLargeConfigurations(t *testing.T) {
	for _, rulesEach := range []int{3, 11} {
		value, err := revision.Encode(largeConfig(550, rulesEach))
		must.NoError(t, err)
		t.Logf("550 customers, 11 models, %d rules: %d bytes", 550*rulesEach, len(value))
		must.Less(t, store.MaxValueBytes/4, len(value))
	}
	_, err := revision.Encode(largeConfig(16_000, 0))
	var tooLarge *revision.TooLargeError
	must.True(t, errors.As(err, &tooLarge))
	must.Greater(t, store.MaxValueBytes, tooLarge.Bytes)
	must.Less(t, tooLarge.Customers, tooLarge.Rules)
}
