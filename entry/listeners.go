package entry

import (
	"net/http"
	"time"
)

// Limits of the listeners that answer small requests of the platform and of operators.
const (
	maxInternalHeaderBytes = 8 << 10
	internalTimeout        = 5 * time.Second  // to read a request, and to write its answer
	internalIdleTimeout    = 30 * time.Second // the platform asks once a second
)

// newInternalServer returns a server for readiness or metrics. Whoever reaches it can hold
// only little memory, and no connection for good.
func newInternalServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		ReadTimeout:    internalTimeout,
		WriteTimeout:   internalTimeout,
		IdleTimeout:    internalIdleTimeout,
		MaxHeaderBytes: maxInternalHeaderBytes,
	}
}
