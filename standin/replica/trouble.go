package replica

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dandelionrill.example/standin/wire"
)

// Trouble is how a replica spoils its answers.
type Trouble int

// The kinds of trouble. Runs are recorded as usual.
const (
	TroubleNone        Trouble = iota
	TroubleIncomplete          // a stream without a length or chunks ends in order, inside an event
	TroubleEndlessHead         // a head goes on without end
	TroubleInterim             // interim heads without end, in place of an answer
	TroubleEndlessBody         // after its first event a stream goes on without the end of another; a plain answer is a failure without end
	TroubleSlowBody            // a body goes on without end, a byte now and then
	TroubleFields              // a head of short fields without end
	TroubleNoAnswer            // long lines that are no answer, without end
	TroubleStatus              // an answer whose status is 000, 099 or +20, with an answer to the attempt as its body
	TroubleFieldName           // a blank stands in a name of the head
	TroubleHalfHead            // a head ends in its middle
	troubleCount
)

// Troubles returns all kinds of trouble.
func Troubles() []Trouble {
	kinds := make([]Trouble, 0, troubleCount)
	for kind := TroubleIncomplete; kind < troubleCount; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

const (
	// slowBytePause is the time between two bytes of TroubleSlowBody.
	slowBytePause = 50 * time.Millisecond
	// endlessLimit ends answers without end for a caller that never closes.
	endlessLimit = time.Minute
)

// SetTrouble spoils the answers to all requests that begin from now on.
func (r *Replica) SetTrouble(kind Trouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trouble = kind
}

func (r *Replica) currentTrouble() Trouble {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trouble
}

// spoil answers a request by a connection of its own, and closes that. attempt began the
// stream, of which the caller has the events up to lastEvent.
func (r *Replica) spoil(w http.ResponseWriter, kind Trouble, isStream bool, attempt string, lastEvent int) {
	header := w.Header()
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the caller has disconnected
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(endlessLimit)) // a closed connection fails the writes
	next := min(lastEvent+1, Events(attempt))
	event := Event(attempt, r.opts.Version, next)
	switch {
	case kind == TroubleInterim:
		repeat(out, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 0)
	case kind == TroubleEndlessHead:
		writeHead(out, http.StatusOK, header)
		repeat(out, "X: x\r\n", 0)
	case kind == TroubleFields:
		writeHead(out, http.StatusOK, header)
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprintf(out, "%x:\n", i)
		}
	case kind == TroubleNoAnswer:
		repeat(out, strings.Repeat("\x00", 32<<10)+"\n", 0)
	case kind == TroubleIncomplete && isStream:
		writeHead(out, http.StatusOK, header)
		_, _ = io.WriteString(out, "\r\n"+event[:1+len(event)/2]) // the failure is noticed by the flush
		_ = out.Flush()
	case kind == TroubleIncomplete:
		writeHead(out, http.StatusOK, header)
		_, _ = io.WriteString(out, "\r\n"+Body(attempt))
		_ = out.Flush()
	case kind == TroubleStatus:
		status := []string{"000", "099", "+20"}[rand.N(3)]
		fmt.Fprintf(out, "HTTP/1.1 %s Trouble\r\n%s: %s\r\n\r\n", status, wire.HeaderAttempt, header.Get(wire.HeaderAttempt))
		writeHead(out, http.StatusOK, header)
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(event), event)
		_ = out.Flush()
	case kind == TroubleFieldName:
		writeHead(out, http.StatusOK, header)
		name := []string{"Content-Length ", "X Y", " X"}[rand.N(3)]
		fmt.Fprintf(out, "%s: %d\r\n\r\n%s", name, len(event), event)
		_ = out.Flush()
	case kind == TroubleHalfHead:
		writeHead(out, http.StatusOK, header)
		_, _ = io.WriteString(out, "Content-Length: 1"[:rand.N(18)])
		_ = out.Flush()
	case kind == TroubleEndlessBody && isStream:
		writeHead(out, http.StatusOK, header)
		_, _ = io.WriteString(out, "\r\n"+event+"data: ")
		repeat(out, strings.Repeat("x", 1<<10), 0)
	case kind == TroubleEndlessBody:
		writeHead(out, http.StatusInternalServerError, header)
		_, _ = io.WriteString(out, "\r\n")
		repeat(out, strings.Repeat("x", 1<<10), 0)
	default:
		writeHead(out, http.StatusOK, header)
		_, _ = io.WriteString(out, "\r\n")
		repeat(out, "x", slowBytePause)
	}
}

// writeHead writes a status line and headers, without the empty line after them.
func writeHead(out *bufio.ReadWriter, status int, header http.Header) {
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, name := range []string{wire.HeaderAttempt, wire.HeaderReplica, wire.HeaderSignature, wire.HeaderLeaving} {
		if value := header.Get(name); value != "" {
			fmt.Fprintf(out, "%s: %s\r\n", name, value)
		}
	}
}

// repeat writes text until the caller closes the connection.
func repeat(out *bufio.ReadWriter, text string, pause time.Duration) {
	for {
		if _, err := io.WriteString(out, text); err != nil {
			return
		}
		if pause > 0 {
			if out.Flush() != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}
