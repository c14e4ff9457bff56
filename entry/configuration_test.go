package entry

import (
	"fmt"
	"testing"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/standin/wire"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
)

// Guards against log lines with a customer's key: the line about a configuration that
// cannot be decoded quoted the text around the mistake.
func TestLogOfAMalformedConfigurationHoldsNoKey(t *testing.T) {
	for _, spec := range []string{
		`{"version": 2, "tenants": [{"name": "c", "apiKeys": [~QQxyQQ]}]}`,
		`{"version": 2, "tenants": [{"name": "c", "apiKeys": "~QQxyQQ"}]}`,
		`{"version": 2, "tenants": [{"name": "c", "apiKeys": ["~QQxyQQ" "d"]}]}`,
		`{"version": 2, "routes": [{"routeKind": "~QQxyQQ"}], "tenants": [{"name": "c", "apiKeys": ["~QQxyQQ"]}]}`,
	} {
		lines := memory.New()
		h, err := New(Options{Settings: platform.Settings{StoreAddress: "127.0.0.1:1"}, Log: &log.Logger{Handler: lines, Level: log.DebugLevel}})
		must.NoError(t, err)
		h.applyConfiguration(feed.Snapshot{Records: []store.Record{{Name: wire.NameConfiguration, Value: []byte(spec)}}})
		must.Len(t, 1, lines.Entries)
		line := lines.Entries[0]
		must.Eq(t, "cannot decode the configuration; the previous one stays in force", line.Message)
		for _, part := range []string{"~", "QQ", "xy"} {
			must.StrNotContains(t, fmt.Sprint(line.Fields), part)
		}
	}
}

// A customer whose requests are refused for its name must be named, once for each configuration
// that is put in force.
func TestCustomersWithBadNamesAreLogged(t *testing.T) {
	lines := memory.New()
	h, err := New(Options{Settings: platform.Settings{StoreAddress: "127.0.0.1:1"}, Log: &log.Logger{Handler: lines, Level: log.WarnLevel}})
	must.NoError(t, err)
	for version := 1; version <= 2; version++ {
		spec := fmt.Sprintf(`{"version": %d, "tenants": [{"name": "c", "apiKeys": ["k"]}, {"name": "d\n", "apiKeys": ["l"]}]}`, version)
		for range 3 {
			h.applyConfiguration(feed.Snapshot{Records: []store.Record{{Name: wire.NameConfiguration, Value: []byte(spec)}}})
		}
		must.Len(t, version, lines.Entries)
		must.Eq(t, "d\n", lines.Entries[version-1].Fields["customer"])
	}
}
