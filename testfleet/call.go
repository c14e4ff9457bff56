package testfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxAnswerBytes bounds the body of an answer that Call reads.
const maxAnswerBytes = 64 << 20

// Answer is a complete HTTP answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends one request with the customer's key to the named process and returns
// the answer. It never retries the request.
func (f *Fleet) Call(ctx context.Context, name, method, path string, header http.Header, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.Address(name)+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "testfleet: create request")
	}
	request.GetBody = nil
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+f.CustomerKey())
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Answer{}, errors.Wrap(err, "testfleet: send request")
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	answer.Body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answer, errors.Wrap(err, "testfleet: read answer")
}

// SetFaults sends faults, a value of the Faults type of the stand-in's package, to
// the named stand-ins.
func (f *Fleet) SetFaults(ctx context.Context, faults any, names ...string) error {
	encoded, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "testfleet: encode faults")
	}
	for _, name := range names {
		url := "http://" + f.Address(name) + "/control/faults"
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(encoded))
		if err != nil {
			return errors.Wrap(err, "testfleet: set faults")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return errors.Wrap(err, "testfleet: set faults")
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNoContent {
			return errors.Newf("testfleet: set faults of %s: %s", name, response.Status)
		}
	}
	return nil
}

// FetchJSON decodes the JSON that the named process serves at path into target.
func (f *Fleet) FetchJSON(ctx context.Context, name, path string, target any) error {
	answer, err := f.Call(ctx, name, http.MethodGet, path, nil, "")
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return errors.Newf("testfleet: %s%s: status %d: %s", name, path, answer.Status, answer.Body)
	}
	return errors.Wrapf(json.Unmarshal(answer.Body, target), "testfleet: %s%s", name, path)
}
