package router

import (
	"context"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/internal/answerhead"
	"dandelionrill.example/fleet/internal/headtext"
	"dandelionrill.example/fleet/internal/panics"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/wire"
)

const (
	longPollWait   = 2 * time.Second // time that the agent waits for bytes before it replies without any
	readRetryDelay = 50 * time.Millisecond
	releaseTimeout = 2 * time.Second
	maxFailedDials = 3 // failed dials since the last reply after which the agent counts as lost
)

// Errors that end the reading of an answer.
var (
	errTruncated      = errors.New("router: the upstream ended its answer early")
	errAgentLost      = errors.New("router: the agent is unreachable or has restarted")
	errAnswerGone     = errors.New("router: the agent no longer has the answer")
	errIncomplete     = errors.New("router: the answer is incomplete, its status is none, or its length or digest does not match")
	errWrongReply     = errors.New("router: the reply is for another read request or offset")
	errAnswerTooLarge = errors.New("router: the answer exceeds the size limit")
)

// refusedError reports that an agent did not run a request and never will.
type refusedError struct {
	reason     wire.Reason
	retryAfter time.Duration
}

func (e *refusedError) Error() string {
	return "router: refused by the agent: " + string(e.reason)
}

// handle identifies a request and the agent to which it is submitted.
type handle struct {
	address     string
	host        string
	incarnation string // of the agent
	request     string
	customer    string
	ticket      string // sealed; empty for idempotent requests
}

// call invokes a method of the agent at address.
func (r *Router) call(ctx context.Context, address, method string, args, reply any) error {
	client, err := r.opts.Pool.Client(address)
	if err != nil {
		return errors.Wrap(err, "router: connect to agent")
	}
	return client.Call(ctx, "Agent."+method, args, reply)
}

// answerReader reads one answer from its first byte and verifies that it is
// complete. It is not safe for concurrent use.
type answerReader struct {
	router      *Router
	handle      handle
	isOwn       bool // this router has submitted the request, so that a refusal is news
	offset      int64
	sum         hash.Hash
	lastReply   time.Time
	failedDials int
	endErr      error // returned once the bytes read so far are consumed: io.EOF or a failure
	started     bool
	status      int
	header      http.Header
}

func (r *Router) newAnswerReader(h handle) *answerReader {
	return &answerReader{router: r, handle: h, sum: sha256.New(), lastReply: time.Now()}
}

// newOwnAnswerReader returns a reader of the answer to a request that this router has
// submitted.
func (r *Router) newOwnAnswerReader(h handle) *answerReader {
	rd := r.newAnswerReader(h)
	rd.isOwn = true
	return rd
}

// next returns the next bytes of the answer, or io.EOF once the complete
// answer has been read and verified. If a connection breaks or stops
// responding, reading continues at the same offset on a new connection.
func (rd *answerReader) next(ctx context.Context) ([]byte, error) {
	if rd.endErr != nil {
		return nil, rd.endErr
	}
	for {
		reply, err := rd.readOnce(ctx)
		if err == nil {
			data, err := rd.accept(reply)
			if err != nil || len(data) > 0 {
				return data, err
			}
			continue
		}
		if err := rd.waitBeforeRetry(ctx, err); err != nil {
			return nil, err
		}
	}
}

// readOnce sends one read request to the agent.
func (rd *answerReader) readOnce(ctx context.Context) (*wire.ReadReply, error) {
	args := &wire.ReadArgs{
		Meta:     rd.router.Meta(),
		Request:  rd.handle.request,
		Customer: rd.handle.customer,
		Holder:   rd.handle.incarnation,
		Offset:   rd.offset,
		Wait:     longPollWait,
		Begun:    rd.started,
	}
	reply := new(wire.ReadReply)
	if err := rd.router.call(ctx, rd.handle.address, "Read", args, reply); err != nil {
		return nil, err
	}
	rd.lastReply = time.Now()
	rd.failedDials = 0
	rd.router.observeMeta(reply.Meta)
	return reply, nil
}

// waitBeforeRetry waits before the next read, or returns the error that rules
// out another one.
func (rd *answerReader) waitBeforeRetry(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, link.ErrNotSent) {
		rd.failedDials++
	}
	if rd.failedDials >= maxFailedDials || time.Since(rd.lastReply) > rd.router.opts.AgentLostAfter {
		return errors.Mark(errors.Wrap(err, "router: read answer"), errAgentLost)
	}
	counters.Add("reads_repeated", 1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(readRetryDelay):
		return nil
	}
}

// accept validates a reply and returns its bytes.
func (rd *answerReader) accept(reply *wire.ReadReply) ([]byte, error) {
	switch reply.Verdict {
	case wire.VerdictKnown:
	case wire.VerdictRefused:
		if rd.isOwn && reply.Reason != "" {
			rd.router.recordRefusal(place.Candidate{Host: rd.handle.host, Address: rd.handle.address}, reply.Reason, reply.Meta)
		}
		return nil, &refusedError{reason: reply.Reason}
	case wire.VerdictWrongIncarnation:
		return nil, errAgentLost
	default:
		return nil, errAnswerGone
	}
	if reply.Request != rd.handle.request || reply.Offset != rd.offset {
		return nil, errWrongReply
	}
	if reply.Started && !rd.started {
		if answerhead.CheckStatus(reply.Status) != nil || !headtext.AreFields(reply.Header) {
			counters.Add("answers_not_whole", 1)
			return nil, errIncomplete
		}
		rd.started = true
		rd.status = reply.Status
		rd.header = reply.Header
	}
	rd.offset += int64(len(reply.Data))
	rd.sum.Write(reply.Data)
	rd.endErr = rd.checkEnd(reply)
	if len(reply.Data) > 0 {
		return reply.Data, nil
	}
	return nil, rd.endErr
}

// checkEnd returns io.EOF if the complete answer has been read and verified,
// nil if more bytes may follow, and another error if the answer is cut off or
// does not match its length and digest.
func (rd *answerReader) checkEnd(reply *wire.ReadReply) error {
	if reply.Cut {
		return errTruncated
	}
	if !reply.Done {
		return nil
	}
	var digest [sha256.Size]byte
	rd.sum.Sum(digest[:0])
	if reply.Total != rd.offset || reply.Digest != digest {
		counters.Add("answers_not_whole", 1)
		return errIncomplete
	}
	return io.EOF
}

// readAll reads the complete answer.
func (rd *answerReader) readAll(ctx context.Context) ([]byte, error) {
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
			return nil, errAnswerTooLarge
		}
	}
}

// release calls Confirm or Cancel on the agent, which says that the answer has
// been read or is no longer wanted. It does not use the caller's context. A
// failure is harmless, because the agent discards unread answers by itself.
func (r *Router) release(h handle, method string) {
	defer panics.Recover(r.opts.Log, "router.release", log.Fields{"request": h.request})
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	args := &wire.RequestArgs{
		Meta:     r.Meta(),
		Request:  h.request,
		Customer: h.customer,
		Holder:   h.incarnation,
	}
	if err := r.call(ctx, h.address, method, args, new(wire.RequestReply)); err != nil {
		counters.Add("releases_lost", 1)
	}
}
