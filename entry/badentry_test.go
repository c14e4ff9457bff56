package entry

import (
	"testing"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
)

// Guards against entries of another writer that harm those beside them, and against a log line for
// each change of the list while such an entry is there. An entry that is mended under its name
// must be used at once, and one that is spoiled must not.
func TestBadEntryHarmsNothingBesideIt(t *testing.T) {
	const sound = `{"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","version":"v1","slots":6}`
	const odd = `{"service":"s","address":"10.0.0.1:80","zone":"a\n","state":"ready","version":"v1","slots":6}`
	lines := memory.New()
	h, err := New(Options{
		Settings: platform.Settings{StoreAddress: "127.0.0.1:1", FirstStart: true},
		Log:      &log.Logger{Handler: lines, Level: log.InfoLevel},
	})
	must.NoError(t, err)
	revision := uint64(0)
	list := func(entries ...string) (ids []string) {
		revision++
		s := feed.Snapshot{Revision: revision}
		for i := 0; i < len(entries); i += 2 {
			s.Records = append(s.Records, store.Record{Name: entries[i], Revision: revision, Value: []byte(entries[i+1])})
		}
		must.True(t, h.upstreams.Adopt(s, feed.Stamp{}))
		for _, u := range h.gateway.Catalog().Service("s") {
			ids = append(ids, u.ID)
		}
		return ids
	}
	warnings := func() (n int) {
		for _, e := range lines.Entries {
			if e.Level == log.WarnLevel {
				n++
			}
		}
		return n
	}
	for range 5 {
		must.Eq(t, []string{"i-1", "i-2"}, list("i-1", sound, "i-1\n", sound, "i-2", sound, "i-3", odd))
		must.Eq(t, 2, warnings())
	}
	must.Eq(t, []string{"i-1", "i-2", "i-3"}, list("i-1", sound, "i-1\n", sound, "i-2", sound, "i-3", sound))
	must.Eq(t, 2, warnings())
	h.missingEntries.GracePeriod = 0
	must.Eq(t, []string{"i-1", "i-2"}, list("i-1", sound, "i-2", sound, "i-3", odd))
	must.Eq(t, 3, warnings())
	must.Eq(t, []string{"i-1", "i-2", "i-3"}, list("i-1", sound, "i-2", sound, "i-3", sound))
}
