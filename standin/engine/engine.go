// Package engine is a stand-in for a model engine: chat completions in the
// OpenAI-compatible format over a continuous batch and a limited prefix cache,
// with deterministic text. It can inject faults.
package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// Defaults of Options.
const (
	DefaultMaxBatch     = 64
	DefaultCacheBlocks  = 4096
	DefaultBlockTokens  = 16
	DefaultAnswerTokens = 32
)

// Mode says how a request fails.
type Mode string

// The modes of failure.
const (
	ModeNone    Mode = ""
	ModeRefuse  Mode = "refuse"  // answers 503 immediately
	ModeDie     Mode = "die"     // closes the connection after some tokens
	ModeHang    Mode = "hang"    // sends nothing more after some tokens
	ModeGarbage Mode = "garbage" // sends invalid JSON after some tokens
	ModeEndless Mode = "endless" // sends tokens without end, at full speed
)

// Faults are the failures that the stand-in injects. The zero value means none.
type Faults struct {
	Mode        Mode `json:"mode"`
	AfterTokens int  `json:"after_tokens"` // answer tokens before the failure
	Requests    int  `json:"requests"`     // number of next requests that fail; 0 means all
	DelayMillis int  `json:"delay_ms"`     // delay before each request's first token
}

// Options sets up a Server. Zero durations mean no delay; zero MaxBatch,
// CacheBlocks, BlockTokens and AnswerTokens mean the defaults.
type Options struct {
	Name             string        // reported as the system fingerprint
	MaxBatch         int           // requests that run concurrently
	TimePerToken     time.Duration // between two tokens of a request that runs alone
	TimePerTokenPeer time.Duration // added for each other running request
	PrefillPerToken  time.Duration // for each prompt token that is not cached
	CacheBlocks      int
	BlockTokens      int
	AnswerTokens     int           // length of an answer, unless the request sets ignore_eos
	LoadLag          time.Duration // maximum age of a load report
	EventLag         time.Duration // delay until a cache event becomes visible
	EventGapEvery    int           // every EventGapEvery-th cache event is dropped; 0 means none
	ChecksFencing    bool          // refuse orders with an old fencing number
	Faults           Faults
}

// Stats counts what the engine has done.
type Stats struct {
	Requests     int `json:"requests"`
	Completed    int `json:"completed"`
	Cancelled    int `json:"cancelled"` // the client disconnected before the end
	Failed       int `json:"failed"`    // ended by an injected fault
	Tokens       int `json:"tokens"`    // generated
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// Load is a load report.
type Load struct {
	Running       int `json:"running"`
	Waiting       int `json:"waiting"`
	PrefillTokens int `json:"prefill_tokens"` // prompt tokens still to be computed
	CachedBlocks  int `json:"cached_blocks"`
	AgeMillis     int `json:"age_ms"`
}

// Server is the stand-in. Its methods may be called concurrently.
type Server struct {
	options Options
	mux     *http.ServeMux
	batch   *batch
	events  *eventLog
	orders  orderLog

	mu                   sync.Mutex
	cache                *prefixCache
	faults               Faults
	stats                Stats
	pendingPrefillTokens int // prompt tokens still to be computed
	load                 Load
	loadSampledAt        time.Time
}

var _ http.Handler = (*Server)(nil)

// New returns a Server with an empty cache.
func New(options Options) *Server {
	setDefault(&options.MaxBatch, DefaultMaxBatch)
	setDefault(&options.CacheBlocks, DefaultCacheBlocks)
	setDefault(&options.BlockTokens, DefaultBlockTokens)
	setDefault(&options.AnswerTokens, DefaultAnswerTokens)
	s := &Server{
		options: options,
		mux:     http.NewServeMux(),
		batch:   &batch{slots: options.MaxBatch},
		events:  &eventLog{lag: options.EventLag, gapEvery: options.EventGapEvery},
		orders:  orderLog{checksFencing: options.ChecksFencing},
		cache:   newPrefixCache(options.CacheBlocks, options.BlockTokens),
		faults:  options.Faults,
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	s.mux.HandleFunc("GET /events", s.events.serve)
	s.mux.HandleFunc("POST /orders", s.orders.serve)
	control.HandleGet(s.mux, "/load", s.Load)
	control.HandleGet(s.mux, "/control/stats", s.Stats)
	control.HandleGet(s.mux, "/control/orders", s.Orders)
	control.HandleGet(s.mux, "/control/faults", s.Faults)
	control.HandlePut(s.mux, "/control/faults", s.SetFaults)
	return s
}

func setDefault(value *int, otherwise int) {
	if *value == 0 {
		*value = otherwise
	}
}

// ServeHTTP serves chat completions, load, events, orders and /control.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Stats returns what the engine has done so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Orders returns the accepted orders, oldest first.
func (s *Server) Orders() []Order {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return slices.Clone(s.orders.accepted)
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults for later requests.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Load returns a load report that is at most LoadLag old.
func (s *Server) Load() Load {
	running, waiting := s.batch.sizes()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.loadSampledAt.IsZero() || now.Sub(s.loadSampledAt) >= s.options.LoadLag {
		s.loadSampledAt = now
		s.load = Load{
			Running: running, Waiting: waiting,
			PrefillTokens: s.pendingPrefillTokens, CachedBlocks: s.cache.order.Len(),
		}
	}
	report := s.load
	report.AgeMillis = int(now.Sub(s.loadSampledAt).Milliseconds())
	return report
}

// nextFaults counts a request and returns the faults that apply to it.
func (s *Server) nextFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	faults := s.faults
	if s.faults.Requests > 0 {
		s.faults.Requests--
		if s.faults.Requests == 0 {
			s.faults = Faults{}
		}
	}
	return faults
}

// beginPrefill looks the prompt up in the cache, stores it there and returns
// how many of its tokens were cached.
func (s *Server) beginPrefill(tokens []string) (cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digests := s.cache.digests(tokens)
	cached = s.cache.cachedTokens(digests)
	s.events.add(s.cache.store(digests))
	s.pendingPrefillTokens += len(tokens) - cached
	s.stats.PromptTokens += len(tokens)
	s.stats.CachedTokens += cached
	return cached
}

func (s *Server) endPrefill(computed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingPrefillTokens -= computed
}

// finish counts an ended answer, once. It caches a complete one for the chat's next
// request.
func (s *Server) finish(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.counted {
		return
	}
	g.counted = true
	s.stats.Tokens += g.generatedTokens
	switch {
	case g.completed:
		s.stats.Completed++
		s.events.add(s.cache.store(s.cache.digests(g.allTokens())))
	case g.failed:
		s.stats.Failed++
	default:
		s.stats.Cancelled++
	}
}
