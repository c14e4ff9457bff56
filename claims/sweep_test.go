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
	s := NewSweeper(SweeperOptions{Store: store, Marks: 2, Pause: time.Nanosecond, Page: 4})
	bind := func(age string) {
		for i := range 20 {
			id := ID{Customer: "rice", Service: "share-ledger", Key: fmt.Sprint(age, i), Digest: "d"}
			_, err := b.Bind(ctx, id, func() (string, error) { return age, nil })
			must.NoError(t, err)
		}
	}
	left := func() int {
		listed, err := store.List(ctx, Prefix, 1000)
		must.NoError(t, err)
		return len(listed)
	}
	mark := func() {
		seen, version, err := s.read(ctx)
		must.NoError(t, err)
		must.NoError(t, s.mark(ctx, seen, version))
	}
	bind("old")
	mark() // older than this one
	bind("young")
	mark()
	must.Eq(t, 40, left())
	mark() // two marks stand in the list
	must.Eq(t, 20, left())
	sealed, err := b.Bind(ctx, ID{Customer: "rice", Service: "share-ledger", Key: "young7", Digest: "d"}, func() (string, error) { return "fresh", nil })
	must.NoError(t, err)
	must.Eq(t, "young", sealed)

	seen, version, err := s.read(ctx)
	must.NoError(t, err)
	mark()
	must.Error(t, s.mark(ctx, seen, version), must.Sprint("a mark that another process has overtaken"))
}
