package claims_test

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/store"
	standin "dandelionrill.example/standin/platform"
)

func newStore(t *testing.T) (*standin.Server, store.Store) {
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	store, err := platform.NewClient(platform.ClientOptions{BaseURL: web.URL, Timeout: time.Second})
	must.NoError(t, err)
	return server, store
}

// countingIssuer returns an IssueFunc and the number of tickets that it has
// issued.
func countingIssuer(name string) (claims.IssueFunc, *int) {
	n := new(int)
	return func() (string, error) {
		*n++
		return name + strconv.Itoa(*n), nil
	}, n
}

func TestBindReturnsFirstTicket(t *testing.T) {
	server, store := newStore(t)
	b := claims.New(claims.Options{Store: store, RetryDelay: time.Millisecond})
	ctx := context.Background()
	id := claims.ID{Customer: "rice", Service: "share-ledger", Key: "k", Digest: "d"}
	a, _ := countingIssuer("a")
	first, err := b.Bind(ctx, id, a)
	must.NoError(t, err)
	must.Eq(t, "a1", first)
	must.Eq(t, standin.Counts{Put: 1}, server.Counts())
	again, err := b.Bind(ctx, id, a)
	must.NoError(t, err)
	must.Eq(t, "a1", again)

	other := id
	other.Digest = "other"
	_, err = b.Bind(ctx, other, a)
	must.ErrorIs(t, err, claims.ErrMismatch)

	rubber := id
	rubber.Customer = "rubber"
	theirs, err := b.Bind(ctx, rubber, a)
	must.NoError(t, err)
	must.NotEq(t, first, theirs)

	fresh, err := b.Rebind(ctx, id, first, a)
	must.NoError(t, err)
	must.NotEq(t, first, fresh)
	late, err := b.Rebind(ctx, id, first, a)
	must.NoError(t, err)
	must.Eq(t, fresh, late, must.Sprint("a second rebind of the same spent ticket must return the ticket of the first"))
}

func TestLostPutReplyIsResolvedByReading(t *testing.T) {
	server, store := newStore(t)
	server.SetFaults(standin.Faults{LoseAnswers: 1})
	b := claims.New(claims.Options{Store: store, RetryDelay: time.Millisecond})
	id := claims.ID{Customer: "rice", Service: "share-ledger", Key: "k", Digest: "d"}
	a, issued := countingIssuer("a")
	sealed, err := b.Bind(context.Background(), id, a)
	must.NoError(t, err)
	must.Eq(t, "a1", sealed)
	must.Eq(t, 1, *issued)
}

func TestOutageLeavesKeyUnbound(t *testing.T) {
	server, store := newStore(t)
	server.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	b := claims.New(claims.Options{Store: store, RetryDelay: time.Millisecond})
	id := claims.ID{Customer: "rice", Service: "share-ledger", Key: "k", Digest: "d"}
	a, _ := countingIssuer("a")
	_, err := b.Bind(context.Background(), id, a)
	must.True(t, errors.Is(err, claims.ErrUnavailable))
	server.SetFaults(standin.Faults{})
	sealed, err := b.Bind(context.Background(), id, a)
	must.NoError(t, err)
	must.Eq(t, "a2", sealed)
}

func TestBoundKeyNeedsNoNewTicket(t *testing.T) {
	server, store := newStore(t)
	b := claims.New(claims.Options{Store: store, RetryDelay: time.Millisecond})
	id := claims.ID{Customer: "rice", Service: "share-ledger", Key: "k", Digest: "d"}
	errIssue := errors.New("no upstream")
	failing := func() (string, error) { return "", errIssue }
	_, err := b.Bind(context.Background(), id, failing)
	must.ErrorIs(t, err, errIssue)
	a, _ := countingIssuer("a")
	first, err := b.Bind(context.Background(), id, a)
	must.NoError(t, err)
	again, err := b.Bind(context.Background(), id, failing)
	must.NoError(t, err, must.Sprint("the earlier call may have run: its ticket must be returned"))
	must.Eq(t, first, again)
	server.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	_, err = b.Bind(context.Background(), id, failing)
	must.True(t, errors.Is(err, claims.ErrUnavailable))
}
