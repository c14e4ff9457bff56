package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/settings"
	"dandelionrill.example/fleet/timeline"

	"github.com/cockroachdb/errors"
)

// maxParallelQueries limits how many processes are queried at a time.
const maxParallelQueries = 32

// eventSource is one process whose events can be queried.
type eventSource struct {
	address string
	events  func(ctx context.Context, f timeline.Filter) ([]timeline.Event, error)
}

// showTimeline queries all processes and writes their merged events. If some of
// them do not answer, it still writes the events of the others, then prints the
// errors and returns an error.
func showTimeline(ctx context.Context, o *settings.Operator, env Environment) error {
	sources, closeSources, err := eventSources(ctx, o)
	if err != nil {
		return err
	}
	defer closeSources()
	f := timeline.Filter{
		Request: o.Request, Upstream: o.Upstream, Customer: o.Customer,
		Kind: timeline.Kind(o.Kind), Limit: int(o.Limit),
	}
	lists, failures := queryAll(ctx, o, sources, f)
	if err := writeEvents(env, o.Format, timeline.Merge(f.Limit, lists...)); err != nil {
		return err
	}
	for _, failure := range failures {
		fmt.Fprintln(env.Stderr, "dandelionrill: missing from this timeline:", failure)
	}
	if len(failures) > 0 {
		return errors.Newf("%d of %d processes did not answer", len(failures), len(sources))
	}
	return nil
}

func eventSources(ctx context.Context, o *settings.Operator) ([]eventSource, func(), error) {
	if o.Platform != "" {
		return linkSources(ctx, o)
	}
	client := newAdminClient(o)
	var sources []eventSource
	for _, address := range o.Sources {
		sources = append(sources, eventSource{address: address, events: func(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
			body, err := client.call(ctx, http.MethodGet, address, admin.PathTimeline+"?"+f.Query().Encode(), nil, nil)
			if err != nil {
				return nil, err
			}
			return decodeEvents(body)
		}})
	}
	return sources, func() {}, nil
}

// linkSources returns the processes in the platform's host list as sources that
// are queried over the fleet's links.
func linkSources(ctx context.Context, o *settings.Operator) ([]eventSource, func(), error) {
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: o.Platform})
	if err != nil {
		return nil, nil, err
	}
	hosts, err := api.Hosts(ctx)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the host list")
	}
	pool := link.NewPool(link.ClientOptions{TLS: o.TLS, DialTimeout: o.Timeout})
	var sources []eventSource
	for _, host := range hosts {
		sources = append(sources, eventSource{address: host.Address, events: func(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
			client, err := pool.Client(host.Address)
			if err != nil {
				return nil, err
			}
			var reply timeline.EventsReply
			err = client.Call(ctx, timeline.ReceiverName+".Events", timeline.EventsArgs{Filter: f}, &reply)
			return reply.Events, err
		}})
	}
	return sources, pool.Close, nil
}

func decodeEvents(body []byte) ([]timeline.Event, error) {
	var events []timeline.Event
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, maxAdminAnswerBytes)
	for scanner.Scan() {
		var e timeline.Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, errors.Wrap(err, "decode event")
		}
		events = append(events, e)
	}
	return events, errors.Wrap(scanner.Err(), "read events")
}

func queryAll(ctx context.Context, o *settings.Operator, sources []eventSource, f timeline.Filter) (lists [][]timeline.Event, failures []error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for _, source := range sources {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, o.Timeout)
			defer cancel()
			events, err := source.events(ctx, f)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
				return
			}
			lists = append(lists, events)
		})
	}
	wg.Wait()
	return lists, failures
}

func writeEvents(env Environment, format string, events []timeline.Event) error {
	out := bufio.NewWriter(env.Stdout)
	encoder := json.NewEncoder(out)
	for _, e := range events {
		if format == settings.FormatText {
			fmt.Fprintln(out, e)
			continue
		}
		if err := encoder.Encode(e); err != nil {
			return errors.Wrap(err, "write events")
		}
	}
	return errors.Wrap(out.Flush(), "write events")
}
