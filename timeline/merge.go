package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Filter selects events. Empty fields match everything.
type Filter struct {
	Request  string
	Upstream string
	Customer string
	Kind     Kind
	Limit    int // newest events to keep; 0 means all
}

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Upstream, e.Upstream) &&
		matches(f.Customer, e.Customer) && matches(string(f.Kind), string(e.Kind))
}

func matches(want, got string) bool { return want == "" || want == got }

// Names of the query parameters of the handler.
const (
	paramRequest  = "request"
	paramUpstream = "upstream"
	paramCustomer = "customer"
	paramKind     = "kind"
	paramLimit    = "limit"
)

// Query returns the filter as query parameters of the handler.
func (f Filter) Query() url.Values {
	v := url.Values{}
	for name, value := range map[string]string{
		paramRequest: f.Request, paramUpstream: f.Upstream,
		paramCustomer: f.Customer, paramKind: string(f.Kind),
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if f.Limit > 0 {
		v.Set(paramLimit, strconv.Itoa(f.Limit))
	}
	return v
}

// ParseFilter reads query parameters.
func ParseFilter(v url.Values) (Filter, error) {
	f := Filter{
		Request:  v.Get(paramRequest),
		Upstream: v.Get(paramUpstream),
		Customer: v.Get(paramCustomer),
		Kind:     Kind(v.Get(paramKind)),
	}
	if s := v.Get(paramLimit); s != "" {
		limit, err := strconv.Atoi(s)
		if err != nil || limit < 0 {
			return Filter{}, errors.Newf("%s=%q: a number of events, at least 0", paramLimit, s)
		}
		f.Limit = limit
	}
	return f, nil
}

// Merge returns the events in causal order: an event that another could have
// known of comes before it, because every message carries its sender's clock.
// A limit above 0 keeps the newest.
func Merge(limit int, lists ...[]Event) []Event {
	events := slices.Concat(lists...)
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.Clock, b.Clock),
			strings.Compare(a.Process, b.Process),
			strings.Compare(a.Incarnation, b.Incarnation),
		)
	})
	if limit > 0 && len(events) > limit {
		events = events[len(events)-limit:]
	}
	return events
}

// String returns the event as one line of text.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-24s %-24s", e.Time().Format("15:04:05.000"), e.Process, e.Kind)
	for _, field := range [][2]string{
		{"request", e.Request}, {"customer", e.Customer}, {"service", e.Service},
		{"upstream", e.Upstream}, {"chat", e.Chat}, {"outcome", e.Outcome}, {"reason", e.Reason},
	} {
		if field[1] != "" {
			fmt.Fprintf(&b, " %s=%s", field[0], quoted(field[1]))
		}
	}
	if e.Version != 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	return strings.TrimRight(b.String(), " ")
}

// quoted keeps control characters of identifiers off the terminal.
func quoted(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return strconv.Quote(s)
	}
	return s
}

// ServeHTTP answers with the selected events as JSON lines.
func (t *Timeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, err := ParseFilter(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	for _, e := range t.Events(f) {
		if err := out.Encode(e); err != nil {
			return
		}
	}
}
