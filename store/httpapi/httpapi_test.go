package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/shoenig/test/must"
)

func TestRequestsAndErrors(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name   string
		status int
		etag   string
		want   string // request as seen
		err    error
		call   func(*Client) error
	}{
		{"get", 200, `"7"`, "GET /objects/a/b%20c ", nil, func(c *Client) error {
			o, err := c.Get(ctx, "a/b c")
			must.Eq(t, store.Object{Key: "a/b c", Version: 7, Value: []byte(`[]`)}, o)
			return err
		}},
		{"get without version", 200, "", "GET /objects/k ", store.ErrUnavailable, func(c *Client) error { _, err := c.Get(ctx, "k"); return err }},
		{"get missing", 404, "", "GET /objects/k ", store.ErrNotFound, func(c *Client) error { _, err := c.Get(ctx, "k"); return err }},
		{"create", 200, `"1"`, `PUT /objects/k *`, nil, func(c *Client) error { _, err := c.Put(ctx, "k", nil, 0); return err }},
		{"update", 412, "", `PUT /objects/k "3"`, store.ErrConflict, func(c *Client) error { _, err := c.Put(ctx, "k", nil, 3); return err }},
		{"large", 413, "", `PUT /objects/k "3"`, store.ErrTooLarge, func(c *Client) error { _, err := c.Put(ctx, "k", nil, 3); return err }},
		{"delete", 204, "", `DELETE /objects/k "3"`, nil, func(c *Client) error { return c.Delete(ctx, "k", 3) }},
		{"watch", 200, `"9"`, "GET /objects/k?wait=2&watch=8 ", nil, func(c *Client) error { _, err := c.Watch(ctx, "k", 8, 2*time.Second); return err }},
		{"list", 200, "", "GET /objects?limit=3&prefix=p%2F ", nil, func(c *Client) error { _, err := c.List(ctx, "p/", 3); return err }},
		{"hosts in an outage", 503, "", "GET /hosts ", store.ErrUnavailable, func(c *Client) error { _, err := c.Hosts(ctx); return err }},
		{"redirect", 307, "", `PUT /objects/k "3"`, nil, func(c *Client) error {
			_, err := c.Put(ctx, "k", nil, 3)
			must.ErrorContains(t, err, "status 307")
			return nil
		}},
	} {
		seen := ""
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen += r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get("If-Match") + r.Header.Get("If-None-Match")
			w.Header().Set("ETag", tc.etag)
			w.Header().Set("Retry-After", "4")
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(tc.status)
			if tc.status != http.StatusNoContent {
				_, _ = io.WriteString(w, `[]`)
			}
		}))
		c, err := New(Options{BaseURL: s.URL})
		must.NoError(t, err)
		err = tc.call(c)
		must.ErrorIs(t, err, tc.err, must.Sprint(tc.name))
		must.Eq(t, tc.want, seen, must.Sprint(tc.name))
		if tc.status == 503 {
			must.Eq(t, 4*time.Second, store.RetryAfter(err))
		}
		s.Close()
	}
	for _, bad := range []string{"", "127.0.0.1:1", "ftp://x", "http://"} {
		_, err := New(Options{BaseURL: bad})
		must.Error(t, err, must.Sprint(bad))
	}
}

// The server takes the update and drops the reused connection without an
// answer. net/http must not send the update again by itself.
func TestUpdateOnReusedConnectionIsSentOnce(t *testing.T) {
	var puts, deletes atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodGet:
			w.Header().Set("ETag", `"1"`)
			return
		case http.MethodPut:
			puts.Add(1)
		case http.MethodDelete:
			deletes.Add(1)
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		must.NoError(t, err)
		must.NoError(t, conn.Close())
	}))
	defer s.Close()
	c, err := New(Options{BaseURL: s.URL})
	must.NoError(t, err)
	for range 2 {
		_, err = c.Get(context.Background(), "k")
		must.NoError(t, err)
		_, err = c.Put(context.Background(), "k", []byte(strings.Repeat("x", 10)), 1)
		must.ErrorIs(t, err, store.ErrUnavailable)
		_, err = c.Get(context.Background(), "k")
		must.NoError(t, err)
		must.ErrorIs(t, c.Delete(context.Background(), "k", 1), store.ErrUnavailable)
	}
	must.Eq(t, 2, puts.Load())
	must.Eq(t, 2, deletes.Load())
}
