// Package answerhead checks the heads of HTTP answers. It rejects what net/http lets pass though
// RFC 9112 does not allow it, and though it leaves open where an answer ends or what it says.
package answerhead

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"dandelionrill.example/fleet/internal/headtext"
	"github.com/cockroachdb/errors"
)

// ErrStatus means that an answer has no status with which one can end.
var ErrStatus = errors.New("status of the answer is not valid")

// ErrField means that the name of a field is no token (RFC 9110, section 5.6.2). A blank before
// the colon hides a field from the parser, such as a length, and not from others.
var ErrField = errors.New("name of a field of the answer is not valid")

// Check returns an error if the head of an answer as net/http has parsed it, with the answer's
// status if it is a final one, is not valid.
func Check(answer *http.Response) error {
	if err := checkFields(answer.Header); err != nil || IsInterim(answer) {
		return err
	}
	return CheckStatus(answer.StatusCode)
}

// CheckTrailer is Check for the trailer of an answer, whose body has been read to its end.
func CheckTrailer(answer *http.Response) error { return checkFields(answer.Trailer) }

func checkFields(fields http.Header) error {
	for name := range fields {
		if !headtext.IsName(name) {
			return errors.Wrapf(ErrField, "%.50q", name)
		}
	}
	return nil
}

// WithInterimCheck returns a context with which an http.Client fails a request that gets an interim
// answer with fields that are not valid: it passes only the final one on.
func WithInterimCheck(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkFields(http.Header(fields)) },
	})
}

// maxStatus is the highest number of three digits.
const maxStatus = 999

// CheckStatus returns ErrStatus if an answer cannot end with the status. net/http parses three
// characters as a decimal number, so that it takes 000, 099 and +20.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrStatus, "%03d", status)
	}
	return nil
}

// IsInterim reports whether an answer as net/http has parsed it is followed by another one to the
// same request. Status 101 is not, and answers an upgrade that was not asked for.
func IsInterim(answer *http.Response) bool {
	return answer.StatusCode >= 100 && answer.StatusCode < http.StatusOK && answer.StatusCode != http.StatusSwitchingProtocols
}
