package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/internal/answerhead"
	"dandelionrill.example/fleet/wire"
)

const (
	upstreamDialTimeout = 2 * time.Second
	upstreamReadBytes   = 32 << 10
	tailBytes           = 64 // enough for streamEnd and white space after it
	maxAnswerHeadBytes  = 64 << 10
)

// streamEnd is the last event of a chat completion stream, as the OpenAI API
// defines it.
const streamEnd = "data: [DONE]"

// errTooLong is returned if an answer exceeds a limit on stored answer bytes, or
// was dropped while it arrived.
var errTooLong = errors.New("agent: answer exceeds the limit of stored answer bytes or was dropped")

// errBusy is returned if the upstream refused an idempotent request for lack of
// capacity.
var errBusy = errors.New("agent: upstream refused the request for lack of capacity")

// isBusy reports whether an HTTP status means that the upstream did not accept
// the request (RFC 9110, section 15.6.4, and RFC 6585, section 4).
func isBusy(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// errConnUsed keeps net/http from sending a request that must not be repeated on
// a second connection.
var errConnUsed = errors.New("agent: the connection for a non-idempotent request was already used")

// upstream is the client of the agent's upstream.
type upstream struct {
	base   *url.URL
	dialer net.Dialer
	client *http.Client
	onHead func(http.Header) // called with the header of each answer; may be nil
}

func newUpstream(base *url.URL) *upstream {
	u := &upstream{base: base, dialer: net.Dialer{Timeout: upstreamDialTimeout}}
	u.client = &http.Client{
		CheckRedirect: returnRedirect,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := u.dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &answerhead.Conn{Conn: conn}, nil
			},
			// Answers bear no identifier: on a connection that is used again, a late copy of
			// one can't be told from the next one.
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: maxAnswerHeadBytes,
		},
	}
	return u
}

func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// dial opens a connection for one request that must not be repeated.
func (u *upstream) dial(ctx context.Context) (net.Conn, error) {
	return u.dialer.DialContext(ctx, "tcp", u.base.Host)
}

// newSingleUseClient returns a client that sends one request on conn and never
// another. By default, net/http retries requests when a reused connection
// breaks, and it treats a request with an Idempotency-Key as one that may be
// retried.
func newSingleUseClient(conn net.Conn) *http.Client {
	var used atomic.Bool
	return &http.Client{
		CheckRedirect: returnRedirect,
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: maxAnswerHeadBytes,

			DialContext: func(context.Context, string, string) (net.Conn, error) {
				if used.Swap(true) {
					return nil, errConnUsed
				}
				return &answerhead.Conn{Conn: conn}, nil
			},
		},
	}
}

// request builds the HTTP request to the upstream.
func (u *upstream) request(ctx context.Context, args *wire.SubmitArgs) (*http.Request, error) {
	target := *u.base
	target.Path = strings.TrimSuffix(u.base.Path, "/") + args.Path
	target.RawQuery = args.Query
	ctx = answerhead.WithInterimCheck(ctx)
	req, err := http.NewRequestWithContext(ctx, args.Method, target.String(), bytes.NewReader(args.Body))
	if err != nil {
		return nil, errors.Wrap(err, "agent: build upstream request")
	}
	for name, values := range args.Header {
		req.Header[name] = values
	}
	return req, nil
}

// sink receives an upstream's answer. write returns false to stop the transfer.
type sink interface {
	start(status int, header http.Header)
	write(p []byte) bool
}

// call sends args with client and passes the answer to out. It returns true only
// if the complete answer was passed on.
func (u *upstream) call(ctx context.Context, client *http.Client, args *wire.SubmitArgs, out sink) (bool, error) {
	req, err := u.request(ctx, args)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, errors.Wrap(err, "agent: call upstream")
	}
	defer resp.Body.Close()
	if err := answerhead.Check(resp); err != nil {
		return false, errors.Wrap(err, "agent: call upstream")
	}
	if u.onHead != nil {
		u.onHead(resp.Header)
	}
	if args.Idempotent && isBusy(resp.StatusCode) {
		return false, errBusy
	}
	out.start(resp.StatusCode, resp.Header)
	tail, err := copyAnswer(resp.Body, out)
	if err != nil {
		return false, err
	}
	if err := answerhead.CheckTrailer(resp); err != nil {
		return false, errors.Wrap(err, "agent: read upstream answer")
	}
	return isComplete(resp, tail), nil
}

// copyAnswer passes body to out and returns its last bytes.
func copyAnswer(body io.Reader, out sink) (tail []byte, err error) {
	buf := make([]byte, upstreamReadBytes)
	for {
		n, err := body.Read(buf)
		tail = appendTail(tail, buf[:n])
		if n > 0 && !out.write(buf[:n]) {
			return nil, errTooLong
		}
		if err == io.EOF {
			return tail, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "agent: read upstream answer")
		}
	}
}

// appendTail returns the last tailBytes of tail and p.
func appendTail(tail, p []byte) []byte {
	tail = append(tail, p...)
	return append([]byte(nil), tail[max(0, len(tail)-tailBytes):]...)
}

// isComplete reports whether an answer that ended without error is known to be
// complete. An event stream must end with the last event; any other answer must
// be framed by a content length or a transfer encoding, because an answer that
// ends with its connection looks the same if the connection broke.
func isComplete(resp *http.Response, tail []byte) bool {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return bytes.HasSuffix(bytes.TrimSpace(tail), []byte(streamEnd))
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed
}

// isNotSent reports whether err means that nothing was sent to the upstream.
func isNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
