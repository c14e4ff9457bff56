package operator

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/revision"
	standin "dandelionrill.example/standin/platform"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// The platform returns from a copy without the newest version. Editing what the copy
// has would drop the lost change unseen; the operator is told, and can go on by naming
// the base. The next version is newer than the lost one, so that processes adopt it.
func TestLostVersionIsNotOverwrittenUnseen(t *testing.T) {
	s := standin.New(standin.Options{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client, err := platform.NewClient(platform.ClientOptions{BaseURL: server.URL})
	must.NoError(t, err)
	versions := revision.New(revision.Options{Platform: client})
	o := Options{Store: versions, Author: "ann"}
	current := func() uint64 {
		cfg, err := versions.Current(t.Context())
		must.NoError(t, err)
		return cfg.Version
	}
	_, err = apply(t, o, 1)
	must.NoError(t, err)
	kept := current()
	s.Copy()
	_, err = apply(t, o, 2)
	must.NoError(t, err)
	lost := current()
	s.Restore()
	must.Eq(t, kept, current())

	var missing *revision.LostVersionError
	o.Fleet = &fakeFleet{store: versions, versions: map[string]uint64{"b": lost}}
	_, err = apply(t, o, 3)
	must.True(t, errors.As(err, &missing))
	must.Eq(t, revision.LostVersionError{Lost: lost, Newest: kept}, *missing)
	err = RunUndo(t.Context(), Options{Store: versions, Fleet: o.Fleet, Version: kept}, &bytes.Buffer{})
	must.True(t, errors.As(err, &missing))
	_, err = apply(t, Options{Store: versions, Base: lost}, 3)
	must.True(t, errors.As(err, &missing), must.Sprint("a sheet that is based on the lost version"))
	must.Eq(t, kept, current())

	o.Fleet, o.Base = nil, kept
	_, err = apply(t, o, 3)
	must.NoError(t, err)
	must.Greater(t, lost, current())
	var history bytes.Buffer
	must.NoError(t, RunHistory(t.Context(), o, &history))
	must.Eq(t, 3, strings.Count(history.String(), "\n")) // the header, the new version and the kept one
}
