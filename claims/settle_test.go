package claims_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/store"
	standin "dandelionrill.example/standin/platform"
)

// newBinder returns a Binder as a process of its own has it, and its store.
func newBinder(t *testing.T, server *standin.Server, settleTime time.Duration) (*claims.Binder, store.Store) {
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	eras := &store.Eras{}
	client, err := platform.NewClient(platform.ClientOptions{BaseURL: web.URL, Eras: eras})
	must.NoError(t, err)
	return claims.New(claims.Options{Store: client, Eras: eras, RetryDelay: time.Millisecond, SettleTime: settleTime}), client
}

// A claim that the store has lost at its return from a copy must not be bound to
// another ticket: the call of the first one may have run.
func TestKeyLostByTheStoreIsNotBoundAgain(t *testing.T) {
	ctx := context.Background()
	server := standin.New(standin.Options{})
	b, _ := newBinder(t, server, time.Hour)
	issue, _ := countingIssuer("a")
	kept := claims.ID{Customer: "rice", Service: "share-ledger", Key: "kept", Digest: "d"}
	first, err := b.Bind(ctx, kept, issue)
	must.NoError(t, err)
	server.Copy()
	lost := claims.ID{Customer: "rice", Service: "share-ledger", Key: "lost", Digest: "d"}
	_, err = b.Bind(ctx, lost, issue)
	must.NoError(t, err)
	_, err = b.Rebind(ctx, kept, first, issue)
	must.NoError(t, err)
	server.Restore()

	// The first call learns of the return only by the answer to its write.
	for range 3 {
		_, err = b.Bind(ctx, lost, issue)
		must.True(t, errors.Is(err, claims.ErrUnavailable), must.Sprint(err))
	}
	_, err = b.Rebind(ctx, kept, first, issue)
	must.True(t, errors.Is(err, claims.ErrUnavailable), must.Sprint(err))
	again, err := b.Bind(ctx, kept, issue)
	must.NoError(t, err)
	must.Eq(t, first, again)
}

// The write during which the store returns may have lost its answer, too.
func TestLostAnswerDuringReturnLeavesKeyUnbound(t *testing.T) {
	ctx := context.Background()
	server := standin.New(standin.Options{})
	b, client := newBinder(t, server, time.Hour)
	_, err := client.List(ctx, "", 1) // the era is known
	must.NoError(t, err)
	server.Copy()
	server.Restore()
	server.SetFaults(standin.Faults{LoseAnswers: 1})
	issue, _ := countingIssuer("a")
	id := claims.ID{Customer: "rice", Service: "share-ledger", Key: "k", Digest: "d"}
	for range 2 {
		_, err = b.Bind(ctx, id, issue)
		must.True(t, errors.Is(err, claims.ErrUnavailable), must.Sprint(err))
	}
}

// Keys must not stay refused for ever, nor be accepted early by a process that started
// after the return.
func TestEraSettlesForAllProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := standin.New(standin.Options{})
	issue, _ := countingIssuer("a")
	id := claims.ID{Customer: "rice", Service: "share-ledger", Key: "k", Digest: "d"}
	server.Copy()
	server.Restore()
	waiting, client := newBinder(t, server, time.Hour)
	_, err := client.List(ctx, "", 1)
	must.NoError(t, err)
	_, err = waiting.Bind(ctx, id, issue)
	must.True(t, errors.Is(err, claims.ErrUnavailable), must.Sprint(err))

	b, _ := newBinder(t, server, 20*time.Millisecond)
	go b.Run(ctx)
	sealed := ""
	for sealed == "" {
		sealed, _ = b.Bind(ctx, id, issue)
		time.Sleep(time.Millisecond)
	}
	later, _ := newBinder(t, server, time.Hour)
	go later.Run(ctx)
	other := id
	other.Key = "other"
	for err = claims.ErrUnavailable; err != nil; time.Sleep(time.Millisecond) {
		_, err = later.Bind(ctx, other, issue)
	}
}
