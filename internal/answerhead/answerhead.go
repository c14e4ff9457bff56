// Package answerhead checks the heads of HTTP answers. It rejects what net/http lets pass though
// RFC 9112 does not allow it, and though it leaves open where an answer ends or what it says.
package answerhead

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrStatus means that an answer has no status with which one can end.
var ErrStatus = errors.New("status of the answer is not valid")

// Check returns an error if an answer as net/http has parsed it is not a valid final one.
func Check(answer *http.Response) error {
	return CheckStatus(answer.StatusCode)
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
