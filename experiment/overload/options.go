package overload

// Parameters of the pool and of its callers; times are in seconds.
const (
	engines                = 12
	routers                = 4
	slots                  = 16
	meanWorkSeconds        = 6.6
	workSigma              = 0.6
	deadlineSeconds        = 20.0 // of one try of a caller
	queueWaitSeconds       = 2.0
	maxCallerTries         = 3 // tries per request, including the first
	fixedRetryDelaySeconds = 1.0
	loadRefreshSeconds     = 1.0
	meanRefreshSeconds     = 1.0
	durationSeconds        = 900.0
	warmUpSeconds          = 300.0
	customers              = 10
	queueLimit             = 32
	loadMultiple           = 1.25
	boundFloor             = 4
	roundTripSeconds       = 0.01
)

// capacity is how many requests per second all engines together can answer.
const capacity = engines * slots / meanWorkSeconds

// Options selects the mechanisms of one run.
type Options struct {
	Name            string
	Load            float64 // offered, as a multiple of the capacity
	Unbounded       bool    // agents admit every request
	NoBudget        bool    // retries are limited by the number of attempts only
	FixedRetryDelay bool    // refused callers retry after fixedRetryDelaySeconds
	CountAllQueues  bool    // the computed retry delay counts the queues of all customers, not just the caller's
	FIFO            bool    // one queue for all customers
	QueueOnLastOnly bool    // only the last attempt may queue, even if the retry budget is used up
	CustomerBudget  bool    // each customer has its own retry budget
	MaxInFlight     int     // in-flight limit per customer and agent; 0 means none
	Hedge           float64 // seconds without a first token after which a second attempt is sent; 0 disables hedging
	Breaker         bool    // routers avoid an engine for a while after consecutive refusals
	QueueWait       float64 // seconds; 0 means the default
	Floor           int     // floor of the load bound; 0 means the default
	Surge           float64 // factor on the traffic of customer 0; 0 means none
	Seed            uint64
}

// Result holds the measurements of one run, taken after the start-up time.
type Result struct {
	Goodput            float64 // answers per second / capacity
	Attempts           float64 // attempts at agents per answer
	Refused            float64 // share of requests that ended refused
	Expired            float64 // share of requests that ended at their deadline
	Others             Tail    // customers other than 0
	Surging            Tail    // customer 0
	MaxRunning         int     // most running requests on one engine
	MaxRetriesPer100ms int     // callers that retried a refused or expired try within the busiest 100 ms
}

// Tail holds the results of a group of customers.
type Tail struct {
	FirstTokenP99 float64 // seconds, of answered requests
	Refused       float64 // share of requests, including those that ended at their deadline
}

type request struct {
	customer    string
	createdAt   float64 // when the caller sent it first
	sentAt      float64 // when the caller sent the current try
	workSeconds float64 // seconds on an engine that is not overloaded
	tries       int     // by the caller
	firstToken  float64
	ended       bool
	job         *job
	hedge       *job
}
