package relay

import (
	"fmt"
	"testing"
	"time"

	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"

	"github.com/shoenig/test/must"
)

// BenchmarkRelay compares the ways of reading at the target size (one or two
// streams per agent) and at the current size (a dozen agents).
func BenchmarkRelay(b *testing.B) {
	const interval = 31 * time.Millisecond
	for _, size := range []struct{ agents, streams int }{{192, 192}, {12, 192}, {960, 1920}, {12, 1920}} {
		baseline, err := Run(Load{Mode: ModeNone, Agents: size.agents, Streams: size.streams, Interval: interval, Duration: 3 * time.Second})
		must.NoError(b, err)
		for _, variant := range []Load{
			{Mode: ModePerRequest, Header: true}, {Mode: ModePerRequest}, {Mode: ModePerAgent},
			{Mode: ModePerAgent, Linger: time.Millisecond}, {Mode: ModePerAgent, Linger: 5 * time.Millisecond},
		} {
			variant.Agents, variant.Streams, variant.Interval, variant.Duration = size.agents, size.streams, interval, 3*time.Second
			b.Run(fmt.Sprintf("agents=%d/streams=%d/%s/linger=%s/header=%t", size.agents, size.streams, variant.Mode, variant.Linger, variant.Header), func(b *testing.B) {
				for b.Loop() {
					r, err := Run(variant)
					must.NoError(b, err)
					b.ReportMetric(float64(r.perToken(baseline).Nanoseconds())/1e3, "cpu-us/token")
					b.ReportMetric(float64(r.Tokens)/variant.Duration.Seconds(), "tokens/s")
					b.ReportMetric(float64(r.P50.Microseconds()), "p50-us")
					b.ReportMetric(float64(r.P95.Microseconds()), "p95-us")
				}
			})
		}
	}
}

// BenchmarkCall measures the processor time of a small call over one connection.
func BenchmarkCall(b *testing.B) {
	r := &run{load: Load{Agents: 1, Streams: 1}, pool: newPool()}
	defer r.pool.Close()
	addresses, stop, err := r.startAgents()
	defer stop()
	must.NoError(b, err)
	client, err := r.pool.Client(addresses[0])
	must.NoError(b, err)
	r.agents[0].streams[0].bytes = tokenBytes
	before := processorTime()
	for b.Loop() {
		callOnce(b, client)
	}
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N)/1e3, "cpu-us/call")
}

func newPool() *link.Pool { return link.NewPool(link.ClientOptions{}) }

func callOnce(b *testing.B, client *link.Client) {
	args := &ReadArgs{ReadArgs: wire.ReadArgs{Meta: meta(), Request: identifier(0), Holder: identifier(0)}}
	must.NoError(b, client.Call(b.Context(), serviceName+".Read", args, new(wire.ReadReply)))
}
