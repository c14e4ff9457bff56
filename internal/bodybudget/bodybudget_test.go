package bodybudget

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// stalledBody is a body that sends its bytes and then nothing until it is interrupted.
type stalledBody struct {
	io.Reader
	reached     chan struct{} // closed when all bytes were read
	interrupted chan struct{}
	once        sync.Once
}

func newStalledBody(size int) *stalledBody {
	return &stalledBody{
		Reader:  strings.NewReader(strings.Repeat("x", size)),
		reached: make(chan struct{}), interrupted: make(chan struct{}),
	}
}

func (s *stalledBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	s.once.Do(func() { close(s.reached) })
	<-s.interrupted
	return 0, os.ErrDeadlineExceeded
}

func (s *stalledBody) interrupt() { close(s.interrupted) }

// start reads the body in another goroutine until it stalls, and returns its later error.
func (s *stalledBody) start(b *Budget) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := b.Read(s, 1<<20, s.interrupt)
		result <- err
	}()
	<-s.reached
	return result
}

func neverInterrupted() { panic("interrupted") }

func readText(b *Budget, size int) (*Body, error) {
	return b.Read(strings.NewReader(strings.Repeat("y", size)), 1<<20, neverInterrupted)
}

func TestReadReturnsTheWholeBody(t *testing.T) {
	for _, size := range []int{0, 1, firstSegmentBytes, firstSegmentBytes + 1, firstSegmentBytes + 2*segmentBytes, 200_000} {
		want := bytes.Repeat([]byte("z"), size)
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "one byte at a time": iotest.OneByteReader,
			"end with the data": iotest.DataErrReader,
		} {
			for _, limit := range []int{size, size + 1, 1 << 20} {
				b := New(1 << 20)
				body, err := b.Read(wrap(bytes.NewReader(want)), int64(limit), neverInterrupted)
				must.NoError(t, err, must.Sprint(name, size, limit))
				must.Eq(t, string(want), string(body.Bytes()))
				must.GreaterEq(t, int64(size), b.Used())
				body.Release()
				body.Release()
				must.Eq(t, 0, b.Used())
			}
		}
	}
}

func TestReadReturnsErrorsAndReleasesTheMemory(t *testing.T) {
	b := New(1 << 20)
	_, err := b.Read(strings.NewReader(strings.Repeat("z", 5000)), 4999, neverInterrupted)
	must.ErrorIs(t, err, ErrTooLarge)
	_, err = b.Read(iotest.TimeoutReader(strings.NewReader(strings.Repeat("z", 5000))), 5000, neverInterrupted)
	must.ErrorIs(t, err, iotest.ErrTimeout)
	must.Eq(t, 0, b.Used())
}

// Guards against a newcomer that is refused while bodies that no longer arrive hold the
// memory, and against an eviction of a body other than that with the oldest progress.
func TestBodyWithTheOldestProgressIsEvicted(t *testing.T) {
	b := New(2*firstSegmentBytes + segmentBytes)
	oldest, newer := newStalledBody(firstSegmentBytes+1), newStalledBody(1) // two segments and one
	oldestEnd := oldest.start(b)
	newerEnd := newer.start(b)
	body, err := readText(b, firstSegmentBytes-1)
	must.NoError(t, err)
	must.ErrorIs(t, <-oldestEnd, ErrEvicted)
	select {
	case <-newer.interrupted:
		t.Fatal("more bodies were evicted than necessary")
	default:
	}
	body.Release()
	must.True(t, b.EvictOldest())
	must.ErrorIs(t, <-newerEnd, ErrEvicted)
	must.False(t, b.EvictOldest())
	must.Eq(t, 0, b.Used())
}

// Guards against bodies that stay by a byte now and then, while those that arrive are evicted.
func TestSingleBytesAreNoProgress(t *testing.T) {
	b := New(1 << 20)
	trickling, arriving := newStalledBody(firstSegmentBytes+1), newStalledBody(2*progressBytes)
	tricklingParts, arrivingParts := make(chan struct{}), make(chan struct{})
	end := make(chan error, 2)
	read := func(s *stalledBody, parts chan struct{}, size int64) {
		_, err := b.Read(readerFunc(func(p []byte) (int, error) {
			<-parts
			return s.Read(p[:min(size, int64(len(p)))])
		}), 1<<20, s.interrupt)
		end <- err
	}
	go read(trickling, tricklingParts, 1)
	tricklingParts <- struct{}{} // it has begun before the other
	go read(arriving, arrivingParts, progressBytes)
	for range 3 {
		arrivingParts <- struct{}{}
		tricklingParts <- struct{}{}
	}
	must.True(t, b.EvictOldest())
	<-trickling.interrupted
	close(tricklingParts)
	must.ErrorIs(t, <-end, ErrEvicted)
	must.True(t, b.EvictOldest())
	close(arrivingParts)
	must.ErrorIs(t, <-end, ErrEvicted)
	must.Eq(t, 0, b.Used())
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against an eviction of a request that may run already, and a wait without end.
func TestCompleteBodiesAreNotEvicted(t *testing.T) {
	b := New(firstSegmentBytes + 2000)
	body, err := readText(b, 2000)
	must.NoError(t, err)
	must.False(t, b.EvictOldest())
	_, err = readText(b, 2000)
	must.ErrorIs(t, err, ErrExhausted)
	must.Eq(t, 2000, len(body.Bytes()))
	body.Release()
	body, err = readText(b, 2000)
	must.NoError(t, err)
	body.Release()
}

// Guards against bodies that together exceed the limit, in any order of events.
func TestManyBodiesStayWithinTheLimit(t *testing.T) {
	const limit = 512 << 10
	b := New(limit)
	var wait sync.WaitGroup
	for seed := range uint64(64) {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, seed))
			for range 20 {
				size := 1 + random.IntN(16<<10)
				if random.IntN(2) == 0 {
					s := newStalledBody(size)
					go func() { <-s.reached; b.EvictOldest() }()
					_, err := b.Read(s, 1<<20, s.interrupt)
					test.Error(t, err)
					s.once.Do(func() { close(s.reached) })
					continue
				}
				interrupted := make(chan struct{})
				body, err := b.Read(strings.NewReader(strings.Repeat("y", size)), int64(size), func() { close(interrupted) })
				test.LessEq(t, limit, b.Used())
				if err == nil {
					test.Eq(t, size, len(body.Bytes()))
					body.Release()
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for {
		select {
		case <-done:
			must.Eq(t, 0, b.Used())
			must.Eq(t, 0, b.ending)
			must.Eq(t, 0, b.evicted)
			return
		default:
			b.EvictOldest() // a stalled body may be the last one
		}
	}
}
