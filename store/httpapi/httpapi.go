// Package httpapi is the adapter to the platform's HTTP object API and host
// list.
//
// It sends each update at most once: net/http repeats a request by itself only
// if it is a GET or if nothing of it was written, and redirects are not
// followed. The outcome of an update whose answer was lost is unknown
// (store.ErrUnavailable); the caller settles it by reading back.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/cockroachdb/errors"
)

// DefaultTimeout is the time-out of one call, waiting excluded.
const DefaultTimeout = 5 * time.Second

// maxListBytes limits the answers to List and Hosts.
const maxListBytes = 8 << 20

// Options sets up a Client.
type Options struct {
	BaseURL string        // such as http://127.0.0.1:8080
	Timeout time.Duration // of one call, waiting excluded; 0 means DefaultTimeout
	Client  *http.Client  // 0 means a client of its own; its redirect policy is not used
}

// Client implements store.Store and store.HostList. All methods may be
// called concurrently.
type Client struct {
	base    string
	timeout time.Duration
	http    http.Client
}

var (
	_ store.Store    = (*Client)(nil)
	_ store.HostList = (*Client)(nil)
)

// New returns a client, or an error if the base URL is not absolute HTTP.
func New(opts Options) (*Client, error) {
	u, err := url.Parse(opts.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "httpapi: base URL")
	}
	if u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, errors.Newf("httpapi: base URL %q: want http://host:port", opts.BaseURL)
	}
	c := &Client{base: strings.TrimSuffix(opts.BaseURL, "/"), timeout: opts.Timeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	if opts.Client != nil {
		c.http = *opts.Client
	} else {
		c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second}
	}
	c.http.Timeout = 0
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	wait   time.Duration // added to the time-out
	limit  int64         // bytes of the answer's body
}

// reply is the answer to a call.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends the call once and reads the whole answer.
func (c *Client) do(ctx context.Context, in call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+in.wait)
	defer cancel()
	target := c.base + in.path
	if len(in.query) != 0 {
		target += "?" + in.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, in.method, target, bytes.NewReader(in.body))
	if err != nil {
		return reply{}, errors.Wrapf(err, "httpapi: %s %s", in.method, in.path)
	}
	for name, values := range in.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, unavailable(err, in)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, in.limit+1))
	if err != nil {
		return reply{}, unavailable(err, in)
	}
	if int64(len(body)) > in.limit {
		return reply{}, errors.Wrapf(store.ErrTooLarge, "httpapi: %s %s: answer", in.method, in.path)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func unavailable(err error, in call) error {
	return errors.Wrapf(&store.UnavailableError{Cause: err}, "httpapi: %s %s", in.method, in.path)
}

// failure returns the error of an answer that is no success.
func failure(r reply, in call) error {
	var err error
	switch r.status {
	case http.StatusNotFound:
		err = store.ErrNotFound
	case http.StatusPreconditionFailed:
		err = store.ErrConflict
	case http.StatusRequestEntityTooLarge:
		err = store.ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		err = &store.UnavailableError{RetryAfter: retryAfter(r.header)}
	default:
		if r.status >= http.StatusInternalServerError {
			err = store.ErrUnavailable
		} else {
			err = errors.Newf("status %d", r.status)
		}
	}
	return errors.Wrapf(err, "httpapi: %s %s", in.method, in.path)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// version reads the ETag of an answer.
func version(r reply, in call) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(r.header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, unavailable(errors.Wrap(err, "ETag"), in)
	}
	return v, nil
}

func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}

func precondition(expected uint64) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {`"` + strconv.FormatUint(expected, 10) + `"`}}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	return c.read(ctx, key, call{})
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Object, error) {
	seconds := int(wait / time.Second)
	query := url.Values{"watch": {strconv.FormatUint(after, 10)}, "wait": {strconv.Itoa(seconds)}}
	return c.read(ctx, key, call{query: query, wait: time.Duration(seconds) * time.Second})
}

func (c *Client) read(ctx context.Context, key string, in call) (store.Object, error) {
	in.method, in.path, in.limit = http.MethodGet, objectPath(key), store.MaxValueBytes
	r, err := c.do(ctx, in)
	if err != nil {
		return store.Object{}, err
	}
	if r.status != http.StatusOK {
		return store.Object{}, failure(r, in)
	}
	v, err := version(r, in)
	if err != nil {
		return store.Object{}, err
	}
	return store.Object{Key: key, Version: v, Value: r.body}, nil
}

// Put implements store.Store. It refuses a value over
// store.MaxValueBytes without a call.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	in := call{method: http.MethodPut, path: objectPath(key), header: precondition(expected), body: value, limit: maxListBytes}
	if len(value) > store.MaxValueBytes {
		return 0, errors.Wrapf(store.ErrTooLarge, "httpapi: PUT %s: %d bytes", in.path, len(value))
	}
	r, err := c.do(ctx, in)
	if err != nil {
		return 0, err
	}
	if r.status != http.StatusOK && r.status != http.StatusCreated {
		return 0, failure(r, in)
	}
	return version(r, in)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	in := call{method: http.MethodDelete, path: objectPath(key), header: precondition(expected), limit: maxListBytes}
	r, err := c.do(ctx, in)
	if err != nil {
		return err
	}
	if r.status != http.StatusNoContent && r.status != http.StatusOK {
		return failure(r, in)
	}
	return nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]store.Object, error) {
	query := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(limit)}}
	var rows []struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	if err := c.readJSON(ctx, call{path: "/objects", query: query}, &rows); err != nil {
		return nil, err
	}
	objects := make([]store.Object, len(rows))
	for i, row := range rows {
		objects[i] = store.Object{Key: row.Key, Version: row.Version}
	}
	return objects, nil
}

// Hosts implements store.HostList.
func (c *Client) Hosts(ctx context.Context) ([]store.Host, error) {
	var hosts []store.Host
	err := c.readJSON(ctx, call{path: "/hosts"}, &hosts)
	return hosts, err
}

func (c *Client) readJSON(ctx context.Context, in call, target any) error {
	in.method, in.limit = http.MethodGet, maxListBytes
	r, err := c.do(ctx, in)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return failure(r, in)
	}
	if err := json.Unmarshal(r.body, target); err != nil {
		return unavailable(err, in)
	}
	return nil
}
