// Package randid generates random identifiers that do not repeat.
package randid

import (
	"crypto/rand"
	"encoding/hex"
)

// idBytes is the number of random bytes of an identifier.
const idBytes = 16

// New returns 128 random bits in lower-case hex. It may be called concurrently.
func New() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}
