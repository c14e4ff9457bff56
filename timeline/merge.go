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
	Limit    int // maximum number of events, the newest; 0 means no limit
}

// Match reports whether the filter selects e.
func (f Filter) Match(e Event) bool {
	return matchesField(f.Request, e.Request) && matchesField(f.Upstream, e.Upstream) &&
		matchesField(f.Customer, e.Customer) && matchesField(string(f.Kind), string(e.Kind))
}

func matchesField(want, got string) bool { return want == "" || want == got }

// Names of the query parameters of the handler.
const (
	paramRequest  = "request"
	paramUpstream = "upstream"
	paramCustomer = "customer"
	paramKind     = "kind"
	paramLimit    = "limit"
)

// Query returns the filter encoded as query parameters of the handler.
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

// ParseFilter decodes a filter from the query parameters of the handler.
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
			return Filter{}, errors.Newf("%s=%q: must be a number of events, at least 0", paramLimit, s)
		}
		f.Limit = limit
	}
	return f, nil
}

// Merge returns the events of all lists in causal order: if one event could have
// influenced another, it comes first. Sorting by clock value ensures this,
// because every message between processes carries the clock of its sender. If
// limit is greater than 0, only the newest limit events are returned.
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

// String formats the event as one line of text.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-24s %-24s", e.Time().Format("15:04:05.000"), e.Process, e.Kind)
	for _, field := range [][2]string{
		{"request", e.Request}, {"customer", e.Customer}, {"service", e.Service},
		{"upstream", e.Upstream}, {"chat", e.Chat}, {"outcome", e.Outcome}, {"reason", e.Reason},
	} {
		if field[1] != "" {
			fmt.Fprintf(&b, " %s=%s", field[0], quoteIfNeeded(field[1]))
		}
	}
	if e.Version != 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	return strings.TrimRight(b.String(), " ")
}

// quoteIfNeeded quotes s if it contains spaces or characters other than printable
// ASCII, so that no control characters of identifiers reach the terminal.
func quoteIfNeeded(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return strconv.Quote(s)
	}
	return s
}

// ServeHTTP writes the events that match the filter in the query as JSON lines.
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
