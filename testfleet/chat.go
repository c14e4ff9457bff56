package testfleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream describes how a streamed chat answer arrived.
type Stream struct {
	Status          int
	Header          http.Header
	FirstTokenDelay time.Duration   // from the request to the first token
	TokenGaps       []time.Duration // between consecutive tokens
	Complete        bool            // the end marker arrived
	Tokens          int
	LastData        string // last data line
}

var (
	dataPrefix = []byte("data: ")
	contentKey = []byte(`"content":"`)
	endMarker  = []byte("[DONE]")
)

// ReadStream posts body to a chat completions URL and reads the answer to its
// end. It calls onToken, which may be nil, after each token with the number of
// tokens so far. A status other than 200 is an error.
func ReadStream(ctx context.Context, client *http.Client, url string, header http.Header, body string, onToken func(int)) (Stream, error) {
	var s Stream
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return s, errors.Wrap(err, "testfleet: create chat request")
	}
	request.Header = header.Clone()
	request.Header.Set("Content-Type", "application/json")
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return s, errors.Wrap(err, "testfleet: send chat request")
	}
	defer func() { _ = response.Body.Close() }()
	s.Status, s.Header = response.StatusCode, response.Header
	if response.StatusCode != http.StatusOK {
		problem, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
		return s, errors.Newf("testfleet: chat: %s: %s", response.Status, problem)
	}
	return s, s.read(response.Body, start, onToken)
}

func (s *Stream) read(body io.Reader, start time.Time, onToken func(int)) error {
	lines := bufio.NewScanner(body)
	previous := start
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		switch {
		case !ok:
			continue
		case bytes.Equal(data, endMarker):
			s.Complete = true
		case bytes.Contains(data, contentKey):
			now := time.Now()
			s.addToken(now.Sub(previous))
			previous = now
			if onToken != nil {
				onToken(s.Tokens)
			}
		}
		s.LastData = string(data)
	}
	return errors.Wrap(lines.Err(), "testfleet: read stream")
}

func (s *Stream) addToken(gap time.Duration) {
	if s.Tokens == 0 {
		s.FirstTokenDelay = gap
	} else {
		s.TokenGaps = append(s.TokenGaps, gap)
	}
	s.Tokens++
}
