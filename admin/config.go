package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/problem"

	"github.com/cockroachdb/errors"
)

// maxConfigBytes limits the size of a configuration in a request body.
const maxConfigBytes = 16 << 20

// retryAfterOutage is sent to operators as Retry-After while the platform is
// unavailable.
const retryAfterOutage = 5 * time.Second

// ConfigurationStore reads and publishes the configuration of the fleet. Its
// methods may be called concurrently.
type ConfigurationStore interface {
	// Current returns the newest configuration that the platform stores, or nil if
	// there is none.
	Current(ctx context.Context) (*config.Config, error)
	// Publish makes cfg the next version if the newest is base, and returns the
	// new version. It fails with *ConflictError, *InvalidError, or another error
	// when the platform is unavailable.
	Publish(ctx context.Context, cfg *config.Config, base uint64) (uint64, error)
}

// ConflictError reports that another edit was published first.
type ConflictError struct {
	Base, Newest uint64
	Findings     []problem.Finding // the changes published after Base
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit was made on version %d, but version %d is in force", e.Base, e.Newest)
}

// InvalidError reports that a configuration is invalid.
type InvalidError struct{ Findings []problem.Finding }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the configuration has %d finding(s)", len(e.Findings))
}

func (a *handler) getConfig(w http.ResponseWriter, r *http.Request) {
	cfg, err := a.opts.Configuration.Current(r.Context())
	switch {
	case err != nil:
		writeConfigError(w, err)
	case cfg == nil:
		problem.Write(w, problem.Problem{Status: http.StatusNotFound, Code: problem.CodeNoConfiguration, Detail: "no configuration has been published yet"})
	default:
		w.Header().Set("ETag", etag(cfg.Version))
		writeJSON(w, http.StatusOK, cfg)
	}
}

func (a *handler) putConfig(w http.ResponseWriter, r *http.Request) {
	base, ok := baseVersion(r.Header)
	if !ok {
		problem.Write(w, problem.Problem{
			Status: http.StatusPreconditionRequired, Code: problem.CodePrecondition, Outcome: problem.OutcomeNotRun,
			Detail: `If-Match: "<version>" with the version that was edited is required, or If-None-Match: * for the first`,
		})
		return
	}
	cfg, err := decodeConfig(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	version, err := a.opts.Configuration.Publish(r.Context(), cfg, base)
	if err != nil {
		writeConfigError(w, err)
		return
	}
	w.Header().Set("ETag", etag(version))
	writeJSON(w, http.StatusOK, struct {
		Version uint64 `json:"version"`
	}{version})
}

func decodeConfig(body io.Reader) (*config.Config, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	cfg := &config.Config{}
	if err := decoder.Decode(cfg); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode configuration: unexpected data after the first JSON value")
	}
	return cfg, nil
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// baseVersion reads from the precondition the version that an edit was made on; 0
// for the first configuration. It returns false if the precondition is missing or
// not in the form that etag writes.
func baseVersion(h http.Header) (uint64, bool) {
	if h.Get("If-None-Match") == "*" && h.Get("If-Match") == "" {
		return 0, true
	}
	value := h.Get("If-Match")
	version, err := strconv.ParseUint(strings.Trim(value, `"`), 10, 64)
	return version, err == nil && version > 0 && value == etag(version)
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	p := problem.Problem{Status: http.StatusBadRequest, Code: problem.CodeBadRequest, Outcome: problem.OutcomeNotRun, Detail: err.Error()}
	if errors.As(err, &tooLarge) {
		p.Status, p.Code = http.StatusRequestEntityTooLarge, problem.CodeTooLarge
	}
	problem.Write(w, p)
}

func writeConfigError(w http.ResponseWriter, err error) {
	var conflict *ConflictError
	var invalid *InvalidError
	switch {
	case errors.As(err, &conflict):
		problem.Write(w, problem.Problem{
			Status: http.StatusPreconditionFailed, Code: problem.CodeConflict, Outcome: problem.OutcomeNotRun,
			Detail: conflict.Error(), Findings: conflict.Findings,
		})
	case errors.As(err, &invalid):
		problem.Write(w, problem.Problem{
			Status: http.StatusUnprocessableEntity, Code: problem.CodeInvalid, Outcome: problem.OutcomeNotRun,
			Detail: invalid.Error(), Findings: invalid.Findings,
		})
	default:
		problem.Write(w, problem.Problem{
			Status: http.StatusServiceUnavailable, Code: problem.CodePlatformDown, Outcome: problem.OutcomeMayHaveRun,
			Detail: err.Error(), RetryAfter: retryAfterOutage,
		})
	}
}
