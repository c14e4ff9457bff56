package relay

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"

	"github.com/cockroachdb/errors"
)

// maxReadWait is the longest time that one read waits for new bytes.
const maxReadWait = 2 * time.Second

// serviceName is the RPC service name of the agents.
const serviceName = "Relay"

// Mode is a way of reading tokens from agents.
type Mode string

// Modes. ModeNone generates tokens but reads none, as the baseline.
const (
	ModeNone       Mode = "none"
	ModePerRequest Mode = "one read per request"
	ModePerAgent   Mode = "one read per router and agent"
)

// Load describes one run.
type Load struct {
	Mode     Mode
	Agents   int
	Streams  int           // total, divided evenly among the agents
	Interval time.Duration // between tokens of one stream
	Linger   time.Duration // ModePerAgent: wait after the first new byte
	Header   bool          // ModePerRequest: every reply repeats the answer's header
	Duration time.Duration
}

// Result is the cost of one run, for both ends of the links together.
type Result struct {
	Tokens   int
	CPU      time.Duration // user and system time of the process
	P50, P95 time.Duration // from the due time of a token to its arrival
}

// perToken returns the processor time per token, excluding that of the baseline.
func (r Result) perToken(baseline Result) time.Duration {
	return (r.CPU - baseline.CPU) / time.Duration(max(r.Tokens, 1))
}

// run holds both ends of the links of one measurement.
type run struct {
	load   Load
	agents []*Agent
	pool   *link.Pool

	mu     sync.Mutex
	tokens int
	delays []time.Duration
}

// Run runs a load and returns its cost.
func Run(load Load) (Result, error) {
	r := &run{load: load, pool: link.NewPool(link.ClientOptions{})}
	defer r.pool.Close()
	addresses, stop, err := r.startAgents()
	defer stop()
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), load.Duration)
	defer cancel()
	var wg sync.WaitGroup
	before := processorTime()
	for i, a := range r.agents {
		wg.Go(func() { a.generate(ctx, load.Interval) })
		r.startReaders(ctx, &wg, a, addresses[i])
	}
	wg.Wait()
	return r.result(processorTime() - before), nil
}

// startAgents starts a server for each agent. stop must be called even if an error is
// returned.
func (r *run) startAgents() (addresses []string, stop func(), err error) {
	var servers []*link.Server
	stop = func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for _, s := range servers {
			_ = s.Shutdown(ctx)
		}
	}
	var header map[string][]string
	if r.load.Header {
		header = map[string][]string{
			"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}, "Date": {"Thu, 01 Jan 1970 00:00:00 GMT"},
		}
	}
	for range r.load.Agents {
		a := newAgent(r.load.Streams/r.load.Agents, header, r.load.Linger)
		s, err := link.NewServer(link.ServerOptions{}, serviceName, a)
		if err != nil {
			return nil, stop, err
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, stop, errors.Wrap(err, "listen")
		}
		go func() { _ = s.Serve(ln) }()
		servers = append(servers, s)
		r.agents = append(r.agents, a)
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, stop, nil
}

// startReaders starts the goroutines that read from one agent.
func (r *run) startReaders(ctx context.Context, wg *sync.WaitGroup, a *Agent, address string) {
	switch r.load.Mode {
	case ModePerRequest:
		for i := range a.streams {
			wg.Go(func() { r.readStream(ctx, a, address, i) })
		}
	case ModePerAgent:
		wg.Go(func() { r.readAllStreams(ctx, a, address) })
	}
}

// readStream reads one stream until ctx ends.
func (r *run) readStream(ctx context.Context, a *Agent, address string, stream int) {
	client, err := r.pool.Client(address)
	if err != nil {
		return
	}
	args := &ReadArgs{Stream: stream, ReadArgs: wire.ReadArgs{Meta: meta(), Request: identifier(stream), Customer: "rice", Holder: identifier(0), Wait: maxReadWait}}
	for {
		reply := new(wire.ReadReply)
		if client.Call(ctx, serviceName+".Read", args, reply) != nil {
			return
		}
		next := args.Offset + int64(len(reply.Data))
		r.recordArrival(a, stream, args.Offset, next)
		args.Offset = next
	}
}

// readAllStreams reads all streams of an agent with one call at a time until ctx
// ends.
func (r *run) readAllStreams(ctx context.Context, a *Agent, address string) {
	client, err := r.pool.Client(address)
	if err != nil {
		return
	}
	args := &ReadManyArgs{Meta: meta(), Wait: maxReadWait, Offsets: make([]int64, len(a.streams))}
	for i := range a.streams {
		args.Requests = append(args.Requests, identifier(i))
	}
	for {
		reply := new(ReadManyReply)
		if client.Call(ctx, serviceName+".ReadMany", args, reply) != nil {
			return
		}
		for _, p := range reply.Parts {
			next := p.Offset + int64(len(p.Data))
			r.recordArrival(a, p.Stream, p.Offset, next)
			args.Offsets[p.Stream] = next
		}
	}
}

func meta() wire.Meta {
	return wire.Meta{From: "router-1", Incarnation: identifier(0), ConfigVersion: 1, Clock: 1 << 60}
}

// identifier returns a test identifier of the usual length.
func identifier(i int) string { return "0123456789abcdef0123456789ab" + strconv.Itoa(1000+i) }

// recordArrival counts the tokens in [from, to) of a stream and records their delays.
func (r *run) recordArrival(a *Agent, stream int, from, to int64) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += int((to - from) / tokenBytes)
	r.delays = a.appendDelays(stream, from, to, now, r.delays)
}

func (r *run) result(cpu time.Duration) Result {
	slices.Sort(r.delays)
	out := Result{Tokens: r.tokens, CPU: cpu}
	if n := len(r.delays); n > 0 {
		out.P50, out.P95 = r.delays[n/2], r.delays[n*95/100]
	}
	return out
}

// processorTime returns the user and system time of this process, or 0 if it cannot
// be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
