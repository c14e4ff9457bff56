package relay

import (
	"fmt"
	"testing"
	"time"

	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"

	"github.com/shoenig/test/must"
)

// BenchmarkRelay weighs the ways of reading at the size to design for (about
// as many agents as streams) and at today's (a dozen agents).
func BenchmarkRelay(b *testing.B) {
	const interval = 31 * time.Millisecond
	for _, size := range []struct{ agents, streams int }{{192, 192}, {12, 192}, {960, 1920}, {12, 1920}} {
		baseline, err := Run(Load{Mode: ModeNone, Agents: size.agents, Streams: size.streams, Interval: interval, Duration: 3 * time.Second})
		must.NoError(b, err)
		for _, way := range []Load{
			{Mode: ModeOne, Header: true}, {Mode: ModeOne}, {Mode: ModeMany},
			{Mode: ModeMany, Linger: time.Millisecond}, {Mode: ModeMany, Linger: 5 * time.Millisecond},
		} {
			way.Agents, way.Streams, way.Interval, way.Duration = size.agents, size.streams, interval, 3*time.Second
			b.Run(fmt.Sprintf("agents=%d/streams=%d/%s/linger=%s/header=%t", size.agents, size.streams, way.Mode, way.Linger, way.Header), func(b *testing.B) {
				for b.Loop() {
					r, err := Run(way)
					must.NoError(b, err)
					b.ReportMetric(float64(r.perToken(baseline).Nanoseconds())/1e3, "cpu-us/token")
					b.ReportMetric(float64(r.Tokens)/way.Duration.Seconds(), "tokens/s")
					b.ReportMetric(float64(r.P50.Microseconds()), "p50-us")
					b.ReportMetric(float64(r.P95.Microseconds()), "p95-us")
				}
			})
		}
	}
}

// BenchmarkCall measures one small call over one connection.
func BenchmarkCall(b *testing.B) {
	r := &run{load: Load{Agents: 1, Streams: 1}, pool: newPool()}
	defer r.pool.Close()
	addresses, stop, err := r.serve()
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
	args := &ReadArgs{ReadArgs: wire.ReadArgs{Meta: meta(), Request: name(0), Holder: name(0)}}
	must.NoError(b, client.Call(b.Context(), serviceName+".Read", args, new(wire.ReadReply)))
}
