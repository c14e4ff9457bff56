package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of Streams.
const (
	streamShards = 16
	// maxStreamsPerShard is the number of streams recorded in one shard.
	maxStreamsPerShard = 4096
	// StreamMaxAge is how long a stream can be taken up after its record was made or
	// renewed.
	StreamMaxAge = time.Minute
	// maxLoggedStreams is the number of records retained for other routers.
	maxLoggedStreams = 16384
)

// Stream states at which software version a resumable stream began.
type Stream struct {
	// Attempt is the StreamKey of the caller's attempt that brought its first event, or the
	// fingerprint of its request: callers do not always name the attempt that they continue.
	Attempt uint64
	Version uint32 // short hash of the version, or SeveralVersions
}

// SeveralVersions is recorded for the fingerprint of requests whose streams began at more than
// one version.
const SeveralVersions = 0

// StreamKey returns the hash by which routers name a caller's attempt.
func StreamKey(attemptID string) uint64 { return xxhash.Sum64String(attemptID) }

// Streams records which version began which resumable streams, from the streams that
// this router delivers and from the reports of other routers. All methods may be called
// concurrently.
type Streams struct {
	start  time.Time
	shards [streamShards]streamShard

	mu          sync.Mutex
	log         []loggedStream // newest last
	firstNumber uint64         // sequence number of log[0]
	dropped     time.Duration  // when the newest record was made that is not in the log any more

	droppedAt atomic.Int64 // nanoseconds from start to the last drop of a record for lack of room; 0: none
}

type streamShard struct {
	mu      sync.Mutex
	records map[uint64]streamRecord
	order   []streamUse // oldest first; holds the last use of each record, and earlier ones
}

type streamRecord struct {
	version uint32
	used    time.Duration
}

// streamUse is the time at which a record was made or renewed.
type streamUse struct {
	attempt uint64
	at      time.Duration
}

// loggedStream is a record that was new to this router.
type loggedStream struct {
	stream Stream
	origin Origin
	at     time.Duration
}

// NewStreams returns a Streams without any records.
func NewStreams() *Streams {
	s := &Streams{start: time.Now()}
	for i := range s.shards {
		s.shards[i].records = make(map[uint64]streamRecord)
	}
	return s
}

// Record records the version of a stream; a version that is already known stays, or becomes
// SeveralVersions under a fingerprint that is recorded with another one. A record that is new, or has
// reached a quarter of StreamMaxAge, is retained for other routers.
func (s *Streams) Record(stream Stream, origin Origin) {
	now := time.Since(s.start)
	isNew, dropped := s.shard(stream.Attempt).use(&stream, now)
	if dropped {
		s.droppedAt.Store(int64(now))
	}
	if !isNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, loggedStream{stream: stream, origin: origin, at: now})
	if over := len(s.log) - maxLoggedStreams; over > 0 {
		// Half of the log is dropped at once, so that entries are rarely moved.
		over += maxLoggedStreams / 2
		s.dropped = s.log[over-1].at
		s.log = append(s.log[:0], s.log[over:]...)
		s.firstNumber += uint64(over)
	}
}

// shard returns the shard of a key. The lowest bits of all fingerprints are the same.
func (s *Streams) shard(key uint64) *streamShard { return &s.shards[(key^key>>16)%streamShards] }

// use makes or renews a record, sets stream to what is recorded, and reports whether
// other routers have to be told, and whether another record was dropped for it.
func (s *streamShard) use(stream *Stream, now time.Duration) (isNew, dropped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	record, known := s.records[stream.Attempt]
	if known {
		conflicts := isFingerprint(stream.Attempt) && stream.Version != record.version && record.version != SeveralVersions
		if stream.Version = record.version; conflicts {
			stream.Version = SeveralVersions
		}
		if !conflicts && now-record.used < StreamMaxAge/4 {
			return false, false
		}
	}
	s.records[stream.Attempt] = streamRecord{version: stream.Version, used: now}
	s.order = append(s.order, streamUse{attempt: stream.Attempt, at: now})
	if dropped = len(s.records) > maxStreamsPerShard; dropped {
		s.dropOldest()
	}
	return true, dropped
}

// expire drops the records that are older than StreamMaxAge. s.mu must be held.
func (s *streamShard) expire(now time.Duration) {
	for len(s.order) > 0 && now-s.order[0].at > StreamMaxAge {
		s.dropFirst()
	}
}

// dropOldest drops the oldest record. s.mu must be held.
func (s *streamShard) dropOldest() {
	for before := len(s.records); len(s.records) == before; {
		s.dropFirst()
	}
}

// dropFirst removes the first use, and its record unless that was renewed. s.mu must be
// held.
func (s *streamShard) dropFirst() {
	first := s.order[0]
	s.order = s.order[1:]
	if s.records[first.attempt].used == first.at {
		delete(s.records, first.attempt)
	}
}

// Version returns the short hash of the version that began a stream.
func (s *Streams) Version(attempt uint64) (version uint32, known bool) {
	shard := s.shard(attempt)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.expire(time.Since(s.start))
	record, known := shard.records[attempt]
	return record.version, known
}

// Recent returns the records that were made or renewed within maxAge, each once, the newest
// first and limit at most.
func (s *Streams) Recent(maxAge time.Duration, limit int) []Stream {
	oldest := time.Since(s.start) - maxAge
	s.mu.Lock()
	defer s.mu.Unlock()
	var streams []Stream
	seen := make(map[uint64]bool)
	for i := len(s.log) - 1; i >= 0 && len(streams) < limit && s.log[i].at >= oldest; i-- {
		if stream := s.log[i].stream; !seen[stream.Attempt] {
			seen[stream.Attempt] = true
			streams = append(streams, stream)
		}
	}
	return streams
}

// StreamsSince returns the newest records of the origins with sequence numbers from
// after on, limit at most, and the number to pass to the next call. Older ones beyond the
// limit are left out for good; whole is false if there were any of the last StreamMaxAge.
func (s *Streams) StreamsSince(after uint64, origins Origin, limit int) (streams []Stream, next uint64, whole bool) {
	oldest := time.Since(s.start) - StreamMaxAge
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.firstNumber + uint64(len(s.log))
	if after > end {
		after = s.firstNumber // a number from before this process restarted
	}
	whole = after >= s.firstNumber || s.dropped < oldest
	logged := s.log[max(after, s.firstNumber)-s.firstNumber:]
	for i := len(logged) - 1; i >= 0 && logged[i].at >= oldest; i-- {
		if logged[i].origin&origins == 0 {
			continue
		}
		if len(streams) >= limit {
			return streams, end, false
		}
		streams = append(streams, logged[i].stream)
	}
	return streams, end, whole
}

// DroppedWithin reports whether a record that had not expired was dropped within a time, for lack of room.
func (s *Streams) DroppedWithin(d time.Duration) bool {
	dropped := s.droppedAt.Load()
	return dropped != 0 && time.Since(s.start)-time.Duration(dropped) <= d
}
