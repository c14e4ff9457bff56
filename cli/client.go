package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"dandelionrill.example/fleet/internal/answerhead"
	"dandelionrill.example/fleet/settings"

	"github.com/cockroachdb/errors"
)

// maxAdminAnswerBytes limits the size of an answer from an admin listener.
const maxAdminAnswerBytes = 64 << 20

// errNoAnswer marks the error of a request to an admin listener that sent no
// answer.
var errNoAnswer = errors.New("no answer")

// adminClient sends requests to admin listeners.
type adminClient struct {
	http   *http.Client
	scheme string
	token  string
}

func newAdminClient(o *settings.Operator) *adminClient {
	scheme := "http"
	if o.AdminTLS {
		scheme = "https"
	}
	return &adminClient{http: &http.Client{Timeout: o.Timeout}, scheme: scheme, token: o.AdminToken}
}

// call sends one request and returns the body of a successful answer. Any other
// answer becomes an error that contains the detail and findings of the problem.
func (c *adminClient) call(ctx context.Context, method, address, path string, header http.Header, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s %s at %s", method, path, address), errNoAnswer)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := answerhead.Check(resp); err != nil {
		return nil, errors.Wrapf(err, "%s %s at %s", method, path, address)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswerBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "read answer from %s", address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Newf("%s %s at %s: %s", method, path, address, describeProblem(resp.Status, answer))
	}
	return answer, nil
}

// describeProblem formats a problem as text, with one line per finding. A body
// that is not a problem is quoted.
func describeProblem(status string, body []byte) string {
	var p struct {
		Detail   string `json:"detail"`
		Findings []struct {
			Place, Value, Message string
		} `json:"findings"`
	}
	if json.Unmarshal(body, &p) != nil || p.Detail == "" {
		return fmt.Sprintf("%s %.200q", status, body)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", status, p.Detail)
	for _, f := range p.Findings {
		fmt.Fprintf(&b, "\n  %s: %s: %s", f.Place, f.Value, f.Message)
	}
	return b.String()
}
