package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/gateway"
	"github.com/shoenig/test/must"
)

const cacheList = "/dandelionrill/kv-list"

// All routers restart while chats continue. The engines keep their caches, and
// each document must be routed to the upstream that has it cached.
func TestPromptsAreRoutedByEngineCachesAfterRestart(t *testing.T) {
	const documents = 12
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, newReplica(t, fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != cacheList {
				answering("data: ok\n\n")(w, r)
				return
			}
			// The first entry is malformed; the others must still be used.
			_, _ = io.WriteString(w, `{"epoch":7,"next":99,"held":[["","bad","many","m"]`)
			for d := i; d < documents; d += 4 {
				fmt.Fprintf(w, `,["","d%d",5000,"m"]`, d)
			}
			_, _ = io.WriteString(w, "]}")
		}))
	}
	f := newFixture(t, replicas...)
	f.gateway.ReadCaches(context.Background(), func(*catalog.Upstream) bool { return true })
	for d := range documents {
		home := replicas[d%4]
		before := home.runs.Load()
		r := f.newRequest(t, http.MethodPost, "/prompt/", "{}")
		r.Header.Set("Dandelionrill-Model", "m")
		r.Header.Set(parts, fmt.Sprintf("aa:100,d%d:5000,bb:10", d))
		f.do(t, r)
		must.Eq(t, before+1, home.runs.Load(), must.Sprintf("document %d", d))
	}
}

// Only the upstreams assigned to this router are asked for their cache lists.
func TestOnlyAssignedPromptUpstreamsAreRead(t *testing.T) {
	assigned, other := newReplica(t, "i-mine", answering("{}")), newReplica(t, "i-other", answering("{}"))
	f := newFixture(t, assigned, other)
	f.gateway.ReadCaches(context.Background(), func(u *catalog.Upstream) bool { return u.ID == "i-mine" })
	must.Eq(t, 1, assigned.runs.Load())
	must.Eq(t, cacheList, assigned.requests()[0].URL.Path)
	must.Eq(t, 0, other.runs.Load())
}

// A read of the cache list counts against the limit that an upstream names, and has no permit.
func TestCachesOfUpstreamsWithALimitAreNotRead(t *testing.T) {
	limited, other := newReplica(t, "i-limited", answering("{}")), newReplica(t, "i-other", answering("{}"))
	f := newFixture(t, limited, other)
	f.gateway.Limits().Record(limited.upstreamKey(), limit.Named{Kind: limit.PerSecond, Rate: 2})
	f.gateway.ReadCaches(context.Background(), func(*catalog.Upstream) bool { return true })
	must.Zero(t, limited.runs.Load())
	must.Eq(t, 1, other.runs.Load())
}

// A list of cached parts goes on without end, at full speed or a byte now and then. Reading it
// must end at a limit, and close the connection.
func TestCacheListWithoutEndIsGivenUp(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{
		"fast":    endless(http.StatusOK, `{"held":[`, strings.Repeat(`["","x",1,""],`, 300), 0),
		"slow":    endless(http.StatusOK, `{"held":[`, " ", 20*time.Millisecond),
		"failure": endless(http.StatusInternalServerError, "", manyBytes, 0),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			var begun atomic.Bool
			one := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
				handle(w, r)
				if begun.CompareAndSwap(false, true) {
					close(closed)
				}
			})
			f := newFixture(t, one)
			f.gateway.ReadCaches(t.Context(), func(*catalog.Upstream) bool { return true })
			<-closed
			listed, _ := f.gateway.CacheIndex().Entries()
			must.LessEq(t, gateway.MaxIndexedParts, listed)
		})
	}
}
