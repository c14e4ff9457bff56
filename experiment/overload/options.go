package overload

// The pool and its callers; times in seconds.
const (
	engines       = 12
	routers       = 4
	slots         = 16
	meanWork      = 6.6
	workSigma     = 0.6
	deadline      = 20.0 // of one attempt of a caller
	queueWait     = 2.0
	callerTries   = 3 // of one request, the first included
	fixedComeBack = 1.0
	loadRefresh   = 1.0
	meanRefresh   = 1.0
	duration      = 900.0
	measuredFrom  = 300.0
	customers     = 10
	queueLimit    = 32
	multiple      = 1.25
	floor         = 4
	roundTrip     = 0.01
)

// capacity is the requests a second that all engines can answer.
const capacity = engines * slots / meanWork

// Options selects the mechanisms of one run.
type Options struct {
	Name        string
	Load        float64 // offered, as a multiple of the capacity
	Unbounded   bool    // agents admit everything
	NoBudget    bool    // retries are limited by attempts alone
	FixedReturn bool    // refused callers come back after fixedComeBack
	WholeQueue  bool    // the computed return counts all customers' queues, not the caller's own
	FIFO        bool    // one queue for all customers
	LateQueue   bool    // only the last attempt may queue, even if the budget is used up
	OwnBudget   bool    // a retry budget for each customer
	InFlight    int     // limit of one customer at one agent; 0 means none
	Hedge       float64 // seconds without a first token after which a second attempt is sent; 0 never
	Breaker     bool    // routers stop sending to an engine for a while after refusals in a row
	QueueWait   float64 // seconds; 0 means the default
	Floor       int     // of the bound; 0 means the default
	Surge       float64 // customer 0 sends this many times its share
	Seed        uint64
}

// Result is measured after the start-up time.
type Result struct {
	Goodput   float64 // answers a second over capacity
	Attempts  float64 // submissions to agents per answer
	Refused   float64 // requests that ended refused, share
	Late      float64 // requests whose deadline passed, share
	Others    Tail    // of customers other than 0
	Surging   Tail    // of customer 0
	Top       int     // most requests in progress on one engine
	MaxReturn int     // refused callers that came back within the busiest 100 ms
}

// Tail is what one group of customers met.
type Tail struct {
	FirstTokenP99 float64 // seconds, of the answered
	Refused       float64 // share, those past their deadline included
}

type request struct {
	customer   string
	born       float64 // first sent by the caller
	sent       float64 // this try of the caller
	work       float64
	tries      int // of the caller
	firstToken float64
	ended      bool
	job        *job
	hedge      *job
}
