package router

import (
	"context"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"
)

const (
	readWait       = 2 * time.Second
	reconnectPause = 50 * time.Millisecond
	releaseTimeout = 2 * time.Second
	maxDialsLost   = 3
)

// Ways in which an answer can fail to arrive.
var (
	errCut         = errors.New("router: the upstream broke off its answer")
	errAgentLost   = errors.New("router: the agent is lost")
	errAnswerGone  = errors.New("router: the agent no longer holds the answer")
	errNotWhole    = errors.New("router: the answer failed its check of length or digest")
	errCrossed     = errors.New("router: the reply belongs to another read")
	errAnswerLarge = errors.New("router: the answer exceeds the limit")
)

// refusedError says that an agent did not run a request and never will.
type refusedError struct {
	reason     wire.Reason
	retryAfter time.Duration
}

func (e *refusedError) Error() string {
	return "router: refused by the agent: " + string(e.reason)
}

// handle names a request at the agent that holds it.
type handle struct {
	address  string
	host     string
	holder   string // incarnation of the agent
	request  string
	customer string
	ticket   string // encoded; empty for idempotent requests
}

// call runs an agent's method.
func (r *Router) call(ctx context.Context, address, method string, args, reply any) error {
	client, err := r.opts.Pool.Client(address)
	if err != nil {
		return errors.Wrap(err, "router: connect to agent")
	}
	return client.Call(ctx, "Agent."+method, args, reply)
}

// reader reads one answer from its beginning and checks that it is whole.
// It is not safe for concurrent use.
type reader struct {
	router *Router
	handle handle
	offset int64
	sum    hash.Hash
	heard  time.Time
	dials  int
	over   error // io.EOF or a failure that came with the last bytes
	begun  bool
	status int
	header http.Header
}

func (r *Router) newReader(h handle) *reader {
	return &reader{router: r, handle: h, sum: sha256.New(), heard: time.Now()}
}

// next returns the next bytes of the answer. It returns io.EOF once the whole
// answer has been read and checked. A silent or broken connection is replaced,
// and reading goes on at the same byte.
func (rd *reader) next(ctx context.Context) ([]byte, error) {
	if rd.over != nil {
		return nil, rd.over
	}
	for {
		reply, err := rd.read(ctx)
		if err == nil {
			data, err := rd.take(reply)
			if err != nil || len(data) > 0 {
				return data, err
			}
			continue
		}
		if err := rd.pause(ctx, err); err != nil {
			return nil, err
		}
	}
}

// read asks the agent once.
func (rd *reader) read(ctx context.Context) (*wire.ReadReply, error) {
	args := &wire.ReadArgs{
		Meta:     rd.router.Meta(),
		Request:  rd.handle.request,
		Customer: rd.handle.customer,
		Holder:   rd.handle.holder,
		Offset:   rd.offset,
		Wait:     readWait,
		Begun:    rd.begun,
	}
	reply := new(wire.ReadReply)
	if err := rd.router.call(ctx, rd.handle.address, "Read", args, reply); err != nil {
		return nil, err
	}
	rd.heard = time.Now()
	rd.dials = 0
	rd.router.observe(reply.Meta)
	return reply, nil
}

// pause waits before the next try, or returns why there is none.
func (rd *reader) pause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, link.ErrNotSent) {
		rd.dials++
	}
	if rd.dials >= maxDialsLost || time.Since(rd.heard) > rd.router.opts.LostAfter {
		return errors.Mark(errors.Wrap(err, "router: read answer"), errAgentLost)
	}
	counters.Add("reads_repeated", 1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(reconnectPause):
		return nil
	}
}

// take checks a reply and returns its bytes.
func (rd *reader) take(reply *wire.ReadReply) ([]byte, error) {
	switch reply.Verdict {
	case wire.VerdictKnown:
	case wire.VerdictRefused:
		return nil, &refusedError{reason: reply.Reason}
	case wire.VerdictWrongIncarnation:
		return nil, errAgentLost
	default:
		return nil, errAnswerGone
	}
	if reply.Request != rd.handle.request || reply.Offset != rd.offset {
		return nil, errCrossed
	}
	if reply.Started && !rd.begun {
		rd.begun = true
		rd.status = reply.Status
		rd.header = reply.Header
	}
	rd.offset += int64(len(reply.Data))
	rd.sum.Write(reply.Data)
	rd.over = rd.end(reply)
	if len(reply.Data) > 0 {
		return reply.Data, nil
	}
	return nil, rd.over
}

// end returns io.EOF if the whole answer has been read, nil if more may come.
func (rd *reader) end(reply *wire.ReadReply) error {
	if reply.Cut {
		return errCut
	}
	if !reply.Done {
		return nil
	}
	var digest [sha256.Size]byte
	rd.sum.Sum(digest[:0])
	if reply.Total != rd.offset || reply.Digest != digest {
		counters.Add("answers_not_whole", 1)
		return errNotWhole
	}
	return io.EOF
}

// collect reads the whole answer.
func (rd *reader) collect(ctx context.Context) ([]byte, error) {
	var body []byte
	for {
		data, err := rd.next(ctx)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		body = append(body, data...)
		if int64(len(body)) > rd.router.opts.MaxAnswerBytes {
			return nil, errAnswerLarge
		}
	}
}

// release tells the agent that an answer is read (Confirm) or no longer wanted
// (Cancel). It does not depend on the caller's context, and a loss is harmless:
// the agent forgets unread answers by itself.
func (r *Router) release(h handle, method string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	args := &wire.RequestArgs{
		Meta:     r.Meta(),
		Request:  h.request,
		Customer: h.customer,
		Holder:   h.holder,
	}
	if err := r.call(ctx, h.address, method, args, new(wire.RequestReply)); err != nil {
		counters.Add("releases_lost", 1)
	}
}
