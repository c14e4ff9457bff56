package claims

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/platform"
	standin "dandelionrill.example/standin/platform"
)

func TestSweepDeletesClaimsOlderThanAllMarks(t *testing.T) {
	web := httptest.NewServer(standin.New(standin.Options{}))
	t.Cleanup(web.Close)
	store, err := platform.NewClient(platform.ClientOptions{BaseURL: web.URL, Timeout: time.Second})
	must.NoError(t, err)
	ctx := context.Background()
	b := New(Options{Store: store})
	s := NewSweeper(SweeperOptions{Store: store, MaxMarks: 2, DeleteDelay: time.Nanosecond, PageSize: 4})
	bind := func(age string) {
		for i := range 20 {
			id := ID{Customer: "rice", Service: "share-ledger", Key: fmt.Sprint(age, i), Digest: "d"}
			_, err := b.Bind(ctx, id, func() (string, error) { return age, nil })
			must.NoError(t, err)
		}
	}
	remaining := func() int {
		listed, err := store.List(ctx, Prefix, 1000)
		must.NoError(t, err)
		return len(listed)
	}
	mark := func() {
		seen, version, err := s.readMarks(ctx)
		must.NoError(t, err)
		must.NoError(t, s.addMark(ctx, seen, version))
	}
	bind("old")
	mark() // the claims above are older than this mark
	bind("young")
	mark()
	must.Eq(t, 40, remaining())
	mark() // the list now holds two marks
	must.Eq(t, 20, remaining())
	sealed, err := b.Bind(ctx, ID{Customer: "rice", Service: "share-ledger", Key: "young7", Digest: "d"}, func() (string, error) { return "fresh", nil })
	must.NoError(t, err)
	must.Eq(t, "young", sealed)

	seen, version, err := s.readMarks(ctx)
	must.NoError(t, err)
	mark()
	must.Error(t, s.addMark(ctx, seen, version), must.Sprint("a mark must fail if another process has added one since the read"))
}
