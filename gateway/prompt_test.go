package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"dandelionrill.example/fleet/catalog"
	"github.com/shoenig/test/must"
)

func TestPromptsWithSharedPartsUseOneUpstream(t *testing.T) {
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), answering("data: ok\n\n")))
	}
	f := newFixture(t, replicas...)
	for i := range 12 {
		r := f.newRequest(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(parts, fmt.Sprintf("aa:100,bb:5000,%x:10", i))
		f.do(t, r)
	}
	used := 0
	for _, up := range replicas {
		if up.runs.Load() > 0 {
			used++
		}
	}
	must.Eq(t, 1, used)
}

// When the upstream that has a prompt cached is leaving, the upstream chosen next
// is given the address from which the prompt can still be fetched.
func TestPromptIsFetchedFromALeavingUpstream(t *testing.T) {
	var replicas []*replica
	for i := range 3 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), answering("data: ok\n\n")))
	}
	f := newFixture(t, replicas...)
	send := func() {
		r := f.newRequest(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(parts, "aa:100,bb:5000,cc:10")
		f.do(t, r)
	}
	send()
	var home *replica
	var entries []catalog.Upstream
	for _, up := range replicas {
		entry := up.upstream()
		if up.runs.Load() > 0 {
			home = up
			entry.State = catalog.StateLeaving
		}
		entries = append(entries, entry)
	}
	f.gateway.SetCatalog(catalog.New(2, entries))
	send()
	for _, up := range replicas {
		if up != home && up.runs.Load() > 0 {
			must.Eq(t, home.server.Listener.Addr().String(), up.requests()[0].Header.Get("Kv-Fetch"))
			return
		}
	}
	t.Fatal("no other upstream was used")
}

// Two documents share their first part. The upstream that gets the second document
// fetches that part from the upstream that has read it.
func TestSharedPrefixIsFetched(t *testing.T) {
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), answering("data: ok\n\n")))
	}
	f := newFixture(t, replicas...)
	send := func(document string) (used *replica, fetched string) {
		before := make([]int64, len(replicas))
		for i, up := range replicas {
			before[i] = up.runs.Load()
		}
		r := f.newRequest(t, http.MethodPost, "/once/", "{}")
		r.Header.Set(parts, "aa:300,"+document+":5000,cc:10")
		f.do(t, r)
		for i, up := range replicas {
			if up.runs.Load() > before[i] {
				seen := up.requests()
				return up, seen[len(seen)-1].Header.Get("Kv-Fetch")
			}
		}
		return nil, ""
	}
	first, fetched := send("d0")
	must.Eq(t, "", fetched)
	for i := 1; ; i++ {
		used, fetched := send(fmt.Sprint("d", i))
		if used == first {
			must.Eq(t, "", fetched) // it has the part cached itself
			continue
		}
		must.Eq(t, first.server.Listener.Addr().String(), fetched)
		_, fetched = send(fmt.Sprint("d", i))
		must.Eq(t, "", fetched)
		return
	}
}
