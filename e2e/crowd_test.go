package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/testfleet"
)

// Limits of the router that the crowd meets, and the crowd.
const (
	crowdBodyMemory     = 16 << 20 // --body-memory-bytes
	crowdBodyBytes      = 4 << 20  // --max-body-bytes
	crowdSmallBodyBytes = 128 << 10
	crowdOfEachKind     = 32

	// crowdMemoryGrowth is how much the resident memory of the router may grow: the bodies,
	// as much again for the collector, 64 KiB a connection, and 32 MiB for all else.
	crowdMemoryGrowth = 2*crowdBodyMemory + 3*crowdOfEachKind*64<<10 + 32<<20
)

// bodySender writes a body but for its last byte. It stops at the first error, which is
// how it learns that the router has closed the connection.
type bodySender struct {
	name   string
	header string
	send   func(w io.Writer) error
}

func writeRepeated(w io.Writer, text string, count int) error {
	block := strings.Repeat(text, 4096)
	for ; count > 0; count -= 4096 {
		if _, err := io.WriteString(w, block[:min(count, 4096)*len(text)]); err != nil {
			return err
		}
	}
	return nil
}

var bodySenders = []bodySender{
	{"large chunks", "Transfer-Encoding: chunked", func(w io.Writer) error {
		if _, err := fmt.Fprintf(w, "%x\r\n", crowdBodyBytes); err != nil {
			return err
		}
		return writeRepeated(w, "x", crowdBodyBytes-1)
	}},
	{"stated length", fmt.Sprintf("Content-Length: %d", crowdBodyBytes), func(w io.Writer) error {
		return writeRepeated(w, "x", crowdBodyBytes-1)
	}},
	{"chunks of one byte", "Transfer-Encoding: chunked", func(w io.Writer) error {
		return writeRepeated(w, "1\r\nx\r\n", crowdSmallBodyBytes)
	}},
}

// startCrowd sends the bodies of the crowd to the named process. It returns once each of
// them has been sent but for its end, or its connection was closed. The connections stay
// open until the test ends.
func startCrowd(ctx context.Context, t *testing.T, fleet *testfleet.Fleet, name string) {
	var wait sync.WaitGroup
	for _, s := range bodySenders {
		for range crowdOfEachKind {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", fleet.Address(name))
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			deadline, _ := ctx.Deadline()
			must.NoError(t, conn.SetDeadline(deadline))
			wait.Go(func() {
				out := bufio.NewWriterSize(conn, 64<<10)
				_, _ = fmt.Fprintf(out, "POST /v1/services/share-ledger/transfers HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", fleet.CustomerKey(), s.header)
				if s.send(out) == nil {
					_ = out.Flush()
				}
			})
		}
	}
	wait.Wait()
}

// sendLarge sends a call whose body has the largest size, with its length stated or in chunks.
func sendLarge(ctx context.Context, t *testing.T, fleet *testfleet.Fleet, operation string, chunked bool) int {
	const format = `{"operation":"%s","padding":"%s"}`
	padding := strings.Repeat("x", crowdBodyBytes-len(fmt.Sprintf(format, operation, "")))
	var body io.Reader = strings.NewReader(fmt.Sprintf(format, operation, padding))
	if chunked {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Address("router-1")+"/v1/services/share-ledger/transfers", body)
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.CustomerKey())
	answer, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}

// startCrowdFleet starts a fleet with one router whose callers may stay as long as they like.
func startCrowdFleet(t *testing.T, limits ...string) *testfleet.Fleet {
	fleet, err := testfleet.Start(t.TempDir(), testfleet.Options{
		Engines: 1, Replicas: 1, Routers: 1,
		Environment: append([]string{"DANDELIONRILL_READ_TIMEOUT=10m", "DANDELIONRILL_READ_HEADER_TIMEOUT=1m"}, limits...),
	})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, fleet.Stop()) })
	return fleet
}

// Guards against a router whose memory grows with the number of callers that send large
// bodies and stop before the end, until the process is killed.
func TestCrowdOfUnfinishedBodiesStaysWithinMemory(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	fleet := startCrowdFleet(t,
		fmt.Sprintf("DANDELIONRILL_BODY_MEMORY_BYTES=%d", crowdBodyMemory),
		fmt.Sprintf("DANDELIONRILL_MAX_BODY_BYTES=%d", crowdBodyBytes))
	id := fleet.ID("router-1")
	descriptors, err := testfleet.OpenDescriptors(id)
	must.NoError(t, err)
	memory, err := testfleet.ResidentBytes(id)
	must.NoError(t, err)

	must.Eq(t, http.StatusOK, sendLarge(ctx, t, fleet, "calm-stated", false))
	must.Eq(t, http.StatusOK, sendLarge(ctx, t, fleet, "calm-chunked", true))
	startCrowd(ctx, t, fleet, "router-1")

	must.NoError(t, fleet.CheckRunning())
	peak, err := testfleet.PeakResidentBytes(id)
	must.NoError(t, err)
	t.Logf("resident memory: %d MiB before, %d MiB at most", memory>>20, peak>>20)
	must.LessEq(t, memory+crowdMemoryGrowth, peak)
	open, err := testfleet.OpenDescriptors(id)
	must.NoError(t, err)
	must.LessEq(t, descriptors+len(bodySenders)*crowdOfEachKind+spareDescriptors, open)
	requireOrdinaryCalls(ctx, t, fleet)
}

// requireOrdinaryCalls checks that the fleet runs and answers calls.
func requireOrdinaryCalls(ctx context.Context, t *testing.T, fleet *testfleet.Fleet) {
	for _, operation := range []string{"after-1", "after-2"} {
		a, err := fleet.Call(ctx, "router-1", http.MethodPost, transferPath, nil, `{"operation":"`+operation+`"}`)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, a.Status, must.Sprint(string(a.Body)))
	}
	must.NoError(t, fleet.CheckRunning())
}

// spareDescriptors allows for links and connections of ordinary calls.
const spareDescriptors = 16

// Guards against callers that keep connections open, without a request or in the middle of
// its header, until the router has no file descriptor left.
func TestCrowdOfConnectionsStaysWithinDescriptors(t *testing.T) {
	const maxConnections, crowd = 32, 96
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	fleet := startCrowdFleet(t, fmt.Sprintf("DANDELIONRILL_MAX_CONNECTIONS=%d", maxConnections))
	descriptors, err := testfleet.OpenDescriptors(fleet.ID("router-1"))
	must.NoError(t, err)
	for i := range crowd {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", fleet.Address("router-1"))
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, []string{"", "GET /v1/models HTTP/1.1\r\n"}[i%2])
		must.NoError(t, err)
		requireAnswered(ctx, t, conn, fleet, i%3 == 0 && i%2 == 0)
	}
	requireOrdinaryCalls(ctx, t, fleet)
	open, err := testfleet.OpenDescriptors(fleet.ID("router-1"))
	must.NoError(t, err)
	t.Logf("open descriptors: %d before, %d with the crowd", descriptors, open)
	must.LessEq(t, descriptors+maxConnections+spareDescriptors, open)
	requireOrdinaryCalls(ctx, t, fleet)
}

// requireAnswered sends a request on conn if send is true, and waits for the answer.
func requireAnswered(ctx context.Context, t *testing.T, conn net.Conn, fleet *testfleet.Fleet, send bool) {
	if !send {
		return
	}
	deadline, _ := ctx.Deadline()
	must.NoError(t, conn.SetDeadline(deadline))
	_, err := fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\n\r\n", fleet.CustomerKey())
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.StatusCode)
}
