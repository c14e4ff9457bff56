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

// readWait is the longest wait of one read for a byte.
const readWait = 2 * time.Second

// serviceName is the name under which agents serve.
const serviceName = "Relay"

// Mode is a way of reading tokens from agents.
type Mode string

// The modes. ModeNone makes tokens and reads none, as the baseline.
const (
	ModeNone Mode = "none"
	ModeOne  Mode = "one read per request"
	ModeMany Mode = "one read per router and agent"
)

// Load describes one run.
type Load struct {
	Mode     Mode
	Agents   int
	Streams  int           // in all, spread evenly over the agents
	Interval time.Duration // between tokens of one stream
	Linger   time.Duration // of ModeMany, after the first new byte
	Header   bool          // every reply of ModeOne repeats the answer's header
	Duration time.Duration
}

// Result tells what a run cost, both ends of the links together.
type Result struct {
	Tokens   int
	CPU      time.Duration // user and system time of the process
	P50, P95 time.Duration // from the making of a token to its arrival
}

// perToken returns the processor time per token, less that of a baseline.
func (r Result) perToken(baseline Result) time.Duration {
	return (r.CPU - baseline.CPU) / time.Duration(max(r.Tokens, 1))
}

// run holds the ends of one measurement.
type run struct {
	load   Load
	agents []*Agent
	pool   *link.Pool

	mu     sync.Mutex
	tokens int
	delays []time.Duration
}

// Run measures a load.
func Run(load Load) (Result, error) {
	r := &run{load: load, pool: link.NewPool(link.ClientOptions{})}
	defer r.pool.Close()
	addresses, stop, err := r.serve()
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
		r.read(ctx, &wg, a, addresses[i])
	}
	wg.Wait()
	return r.result(processorTime() - before), nil
}

func (r *run) serve() (addresses []string, stop func(), err error) {
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

// read starts the readers of one agent.
func (r *run) read(ctx context.Context, wg *sync.WaitGroup, a *Agent, address string) {
	switch r.load.Mode {
	case ModeOne:
		for i := range a.streams {
			wg.Go(func() { r.readOne(ctx, a, address, i) })
		}
	case ModeMany:
		wg.Go(func() { r.readMany(ctx, a, address) })
	}
}

func (r *run) readOne(ctx context.Context, a *Agent, address string, stream int) {
	client, err := r.pool.Client(address)
	if err != nil {
		return
	}
	args := &ReadArgs{Stream: stream, ReadArgs: wire.ReadArgs{Meta: meta(), Request: name(stream), Customer: "rice", Holder: name(0), Wait: readWait}}
	for {
		reply := new(wire.ReadReply)
		if client.Call(ctx, serviceName+".Read", args, reply) != nil {
			return
		}
		next := args.Offset + int64(len(reply.Data))
		r.arrived(a, stream, args.Offset, next)
		args.Offset = next
	}
}

func (r *run) readMany(ctx context.Context, a *Agent, address string) {
	client, err := r.pool.Client(address)
	if err != nil {
		return
	}
	args := &ReadManyArgs{Meta: meta(), Wait: readWait, Offsets: make([]int64, len(a.streams))}
	for i := range a.streams {
		args.Requests = append(args.Requests, name(i))
	}
	for {
		reply := new(ReadManyReply)
		if client.Call(ctx, serviceName+".ReadMany", args, reply) != nil {
			return
		}
		for _, p := range reply.Parts {
			next := p.Offset + int64(len(p.Data))
			r.arrived(a, p.Stream, p.Offset, next)
			args.Offsets[p.Stream] = next
		}
	}
}

func meta() wire.Meta {
	return wire.Meta{From: "router-1", Incarnation: name(0), ConfigVersion: 1, Clock: 1 << 60}
}

// name returns an identifier of the usual length.
func name(i int) string { return "0123456789abcdef0123456789ab" + strconv.Itoa(1000+i) }

func (r *run) arrived(a *Agent, stream int, from, to int64) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens += int((to - from) / tokenBytes)
	r.delays = a.delays(stream, from, to, now, r.delays)
}

func (r *run) result(cpu time.Duration) Result {
	slices.Sort(r.delays)
	out := Result{Tokens: r.tokens, CPU: cpu}
	if n := len(r.delays); n > 0 {
		out.P50, out.P95 = r.delays[n/2], r.delays[n*95/100]
	}
	return out
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
