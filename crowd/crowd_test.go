package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionrill.example/standin/wire"
	"github.com/shoenig/test/must"
)

const (
	// bodies is the size of a crowd that sends bodies, and rounds how often a member comes
	// whose connection the router closes.
	bodies = 120
	rounds = 3
	// oneByteBody is the size of a body in chunks of one byte.
	oneByteBody = 640 << 10
	// ampleFds are descriptors that a crowd of manyConns does not use up.
	ampleFds  = 2000
	manyConns = 700
	// readers is the size of a crowd that does not read answers.
	readers = 1200
	// sendTimeout ends members that the router does not read from.
	sendTimeout = 20 * time.Second
)

// member sends what it sends on a connection, up to the point where it stops.
type member func(c net.Conn, name string) error

// gather lets a number of members send at the same time, and returns once each has stopped
// or has been turned away in all its rounds. The connections of those that stopped stay open.
func (f *fixture) gather(name string, n int, send member) {
	var members sync.WaitGroup
	for i := range n {
		members.Go(func() {
			for round := range rounds {
				c, err := net.DialTimeout("tcp", f.address, sendTimeout)
				if err != nil {
					continue
				}
				f.conns.add(c)
				_ = c.SetDeadline(time.Now().Add(sendTimeout)) // fails only if the connection is closed
				if send(c, fmt.Sprint(name, "-", i, "-", round)) == nil {
					return
				}
			}
		})
	}
	members.Wait()
}

// chunk returns a chunk of a size.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size)) }

// sendChunks sends the head of a request and size bytes of its body in chunks.
func sendChunks(c net.Conn, attempt string, size, chunkSize int) error {
	if _, err := io.WriteString(c, head("/once/x", attempt, "Transfer-Encoding: chunked")); err != nil {
		return err
	}
	one := chunk(chunkSize)
	block := strings.Repeat(one, max(1, 4096/chunkSize)) // few writes for small chunks
	for range size * len(one) / chunkSize / len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return err
		}
	}
	return nil
}

// Members of the crowds.
var (
	largeChunks = func(c net.Conn, name string) error {
		return sendChunks(c, name, wire.MaxBodyBytes, 256<<10) // without the last, empty chunk
	}
	oneByteChunks = func(c net.Conn, name string) error { return sendChunks(c, name, oneByteBody, 1) }
	shortOfChunk  = func(c net.Conn, name string) error {
		const chunkSize = 16 << 10
		if err := sendChunks(c, name, wire.MaxBodyBytes-chunkSize, chunkSize); err != nil {
			return err
		}
		last := chunk(chunkSize)
		_, err := io.WriteString(c, last[:len(last)-len("c\r\n")])
		return err
	}
	shortOfLength = func(c net.Conn, name string) error {
		length := fmt.Sprint("Content-Length: ", wire.MaxBodyBytes)
		_, err := io.WriteString(c, head("/once/x", name, length)+strings.Repeat("c", wire.MaxBodyBytes-1))
		return err
	}
	unfinishedHead = func(c net.Conn, name string) error {
		whole := head("/once/x", name, "X-Fill: "+strings.Repeat("f", 60<<10))
		_, err := io.WriteString(c, strings.TrimSuffix(whole, "\r\n"))
		return err
	}
	noRequest  = func(net.Conn, string) error { return nil }
	slowReader = func(c net.Conn, name string) error {
		if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			return err
		}
		if _, err := io.WriteString(c, head("/safe/large", name, "Content-Length: 0")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 12))
		return err
	}
)

// Guards against routers that are ended by their memory: bodies in large chunks that lack
// their last, empty chunk.
func TestCrowdOfLargeChunks(t *testing.T) {
	f := newFixture(t, ampleFds)
	f.gather("large", bodies, largeChunks)
	f.check(t)
}

// Guards against routers that are ended by their memory: bodies in chunks of one byte.
func TestCrowdOfOneByteChunks(t *testing.T) {
	f := newFixture(t, ampleFds)
	f.gather("small", bodies, oneByteChunks)
	f.check(t)
}

// Guards against routers that are ended by their memory: bodies in chunks that stop one byte
// short of their end.
func TestCrowdThatStopsShortOfAChunk(t *testing.T) {
	f := newFixture(t, ampleFds)
	f.gather("short", bodies, shortOfChunk)
	f.check(t)
}

// Guards against bodies that state a length, stop one byte short of it, and keep the memory
// for bodies from all other callers.
func TestCrowdThatStopsShortOfItsLength(t *testing.T) {
	f := newFixture(t, ampleFds)
	f.gather("length", bodies, shortOfLength)
	f.check(t)
}

// Guards against heads without an end that exceed the memory of a router.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	f := newFixture(t, ampleFds)
	f.gather("head", manyConns, unfinishedHead)
	f.check(t)
}

// Guards against connections of callers that use up the descriptors of a router.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	f := newFixture(t, 512)
	f.gather("idle", manyConns, noRequest)
	f.check(t)
}

// Guards against callers that do not read their answers and exceed the memory of a router.
func TestCrowdOfSlowReaders(t *testing.T) {
	f := newFixture(t, ampleFds)
	f.gather("reader", readers, slowReader)
	f.check(t)
}

// Guards against crowds that stay within each limit and exceed the memory or the descriptors
// together.
func TestMixedCrowd(t *testing.T) {
	f := newFixture(t, 1024)
	var kinds sync.WaitGroup
	for name, kind := range map[string]struct {
		n    int
		send member
	}{
		"large": {40, largeChunks}, "small": {20, oneByteChunks}, "short": {40, shortOfChunk}, "length": {40, shortOfLength},
		"head": {300, unfinishedHead}, "idle": {300, noRequest}, "reader": {200, slowReader},
	} {
		kinds.Go(func() { f.gather(name, kind.n, kind.send) })
	}
	kinds.Wait()
	f.check(t)
}

// Guards against limits that turn away single requests which are allowed.
func TestCalm(t *testing.T) {
	f := newFixture(t, 512)
	length := fmt.Sprint("Content-Length: ", wire.MaxBodyBytes)
	for name, send := range map[string]member{
		"large chunks": func(c net.Conn, name string) error {
			if err := largeChunks(c, name); err != nil {
				return err
			}
			_, err := io.WriteString(c, chunk(0))
			return err
		},
		"chunks of one byte": func(c net.Conn, name string) error {
			if err := oneByteChunks(c, name); err != nil {
				return err
			}
			_, err := io.WriteString(c, chunk(0))
			return err
		},
		"stated length": func(c net.Conn, name string) error {
			_, err := io.WriteString(c, head("/once/x", name, length)+strings.Repeat("c", wire.MaxBodyBytes))
			return err
		},
		"slow body": func(c net.Conn, name string) error {
			return sendSlowly(c, head("/once/x", name, "Transfer-Encoding: chunked"), chunk(1000), 30, chunk(0))
		},
		"slow body with a length": func(c net.Conn, name string) error {
			return sendSlowly(c, head("/once/x", name, "Content-Length: 60000"), strings.Repeat("c", 2000), 30, "")
		},
		"slow head": func(c net.Conn, name string) error {
			whole := head("/once/x", name, "Content-Length: 0")
			return sendSlowly(c, strings.TrimSuffix(whole, "\r\n"), "X-Fill: "+strings.Repeat("f", 300)+"\r\n", 30, "\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", f.address)
			must.NoError(t, err)
			defer c.Close()
			must.NoError(t, send(c, strings.ReplaceAll(name, " ", "-")))
			response, err := readAnswer(c)
			must.NoError(t, err)
			must.Eq(t, 200, response.StatusCode)
		})
	}
	t.Run("slow reader", func(t *testing.T) {
		c, err := net.Dial("tcp", f.address)
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, head("/safe/large", "slow-reader", "Content-Length: 0"))
		must.NoError(t, err)
		for read := 0; read < largeAnswer; {
			time.Sleep(50 * time.Millisecond)
			n, err := c.Read(make([]byte, 32<<10))
			must.NoError(t, err)
			read += n
		}
	})
	f.check(t)
}

// slowInterval is the time between the parts of a caller that sends slowly.
const slowInterval = 60 * time.Millisecond

// sendSlowly sends parts one after another with pauses.
func sendSlowly(c net.Conn, first, part string, parts int, last string) error {
	if _, err := io.WriteString(c, first); err != nil {
		return err
	}
	for range parts {
		time.Sleep(slowInterval)
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, last)
	return err
}
