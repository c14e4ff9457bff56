// Package errtext bounds the texts of errors that quote what another process has sent.
package errtext

import "github.com/cockroachdb/errors"

// MaxBytes limits the text of an error that Bound returns.
const MaxBytes = 512

const omitted = "..."

// Bound returns err, or an error with the beginning of its text if that is longer than MaxBytes.
// The causes of such an error are lost: errors that quote bytes have none that callers test for.
func Bound(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= MaxBytes {
		return err
	}
	return errors.Newf("%s%s", text[:MaxBytes-len(omitted)], omitted)
}
