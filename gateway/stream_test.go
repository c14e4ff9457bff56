package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestStreamIsDeliveredEventByEvent(t *testing.T) {
	next := make(chan struct{})
	up := newReplica(t, "i-1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signature, "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		events(w, 1, 1)
		<-next
		events(w, 2, 3)
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/stream/", "{}"))
	must.NoError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "id: 1\n", line) // received before the second event was written
	close(next)
	rest, err := io.ReadAll(reader)
	must.NoError(t, err)
	must.Eq(t, "data: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n", string(rest))
}

func TestBrokenStreamIsNotDeliveredAsComplete(t *testing.T) {
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 2)
		_, _ = io.WriteString(w, "id: 3\nda")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	f := newFixture(t, up)
	response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/stream/", "{}"))
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", string(body))
	must.Eq(t, 1, up.runs.Load())
}

func TestResumableStreamContinuesAtAnotherUpstream(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			w.Header().Set(signature, "first")
			events(w, 1, 2)
			_, _ = io.WriteString(w, "id: 3\nda") // breaks off within an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(signature, "second")
		if r.Header.Get("Last-Event-Id") != "2" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		events(w, 3, 4)
	}
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "first", response.Header.Get(signature))
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
}

// A continuation begins with an event without an identifier, such as a comment, and breaks
// off. The next one must still continue after the last event delivered, instead of
// delivering the stream from its start again.
func TestEventWithoutIdentifierKeepsThePlaceInTheStream(t *testing.T) {
	var runs atomic.Int64
	handle := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		last := r.Header.Get("Last-Event-Id")
		switch {
		case runs.Add(1) == 1:
			events(w, 1, 2)
			panic(http.ErrAbortHandler)
		case runs.Load() == 2:
			_, _ = io.WriteString(w, ": continued\n\n")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		case last == "2":
			events(w, 3, 4)
		default:
			events(w, 1, 4)
		}
	}
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle), newReplica(t, "i-3", handle))
	f.setRoutes(3, time.Minute)
	_, body := f.do(t, f.newRequest(t, http.MethodPost, "/resume/", "{}"))
	must.Eq(t, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n: continued\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n", body)
}

// A stream breaks off, and the upstream that is to continue it sends nothing until the
// timeout. What was delivered must not look like the whole answer.
func TestStreamThatIsNotContinuedInTimeIsCut(t *testing.T) {
	var first atomic.Bool
	handle := func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			w.Header().Set(signature, "first")
			events(w, 1, 1)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a disconnect only after the body
		<-r.Context().Done()
	}
	f := newFixture(t, newReplica(t, "i-1", handle), newReplica(t, "i-2", handle))
	request := f.newRequest(t, http.MethodPost, "/resume/", "{}")
	request.Header.Set(deadline, "300")
	response, err := f.server.Client().Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, "id: 1\ndata: piece 1\n\n", string(body))
}

func TestCallerDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	ended := make(chan struct{})
	up := newReplica(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signature, "sig")
		events(w, 1, 1)
		<-r.Context().Done()
		close(ended)
	})
	f := newFixture(t, up)
	ctx, cancel := context.WithCancel(context.Background())
	response, err := f.server.Client().Do(f.newRequest(t, http.MethodPost, "/stream/", "{}").WithContext(ctx))
	must.NoError(t, err)
	cancel()
	<-ended
	_ = response.Body.Close()
}
