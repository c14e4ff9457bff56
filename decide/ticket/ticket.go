// Package ticket decides whether a non-idempotent request may run. A ticket names
// the only agent incarnation that may run the request. The Ledger of that
// incarnation records every ticket it has seen and lets each one start at most
// once. The package performs no I/O, reads no clock and uses no randomness.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Limits of a signer.
const (
	MinKeyBytes     = 32   // shortest signing key
	MaxEncodedBytes = 4096 // longest encoded ticket
)

// ErrInvalid is returned for a ticket that is incomplete, malformed or too long, or
// not signed with the signer's key.
var ErrInvalid = errors.New("ticket: invalid")

// Ticket permits one run of one request by one agent incarnation.
type Ticket struct {
	Service     string `json:"s"`
	Host        string `json:"h"` // host name of the agent
	Address     string `json:"a"` // RPC address of the agent
	Incarnation string `json:"i"` // incarnation of the agent's process
	Window      uint64 `json:"w"` // ledger window in which the ticket was issued; the first is 1
	Nonce       string `json:"n"` // unique; identifies the request in every process
	Customer    string `json:"c"`
	Digest      string `json:"d,omitempty"` // BodyDigest of the request; if empty, the first use binds the ticket to a request
}

func (t Ticket) valid() bool {
	if t.Service == "" || t.Incarnation == "" || t.Nonce == "" || t.Window == 0 {
		return false
	}
	for _, s := range []string{t.Service, t.Host, t.Address, t.Incarnation, t.Nonce, t.Customer, t.Digest} {
		if !utf8.ValidString(s) {
			return false
		}
	}
	return true
}

// Signer signs and verifies tickets. It is immutable and safe for concurrent use.
type Signer struct {
	key []byte
}

// NewSigner returns a signer that uses the key. It fails if the key is shorter than
// MinKeyBytes.
func NewSigner(key []byte) (*Signer, error) {
	if len(key) < MinKeyBytes {
		return nil, errors.Newf("ticket: signing key has %d bytes, needs %d", len(key), MinKeyBytes)
	}
	return &Signer{key: append([]byte(nil), key...)}, nil
}

var encoding = base64.RawURLEncoding.Strict()

// Seal returns the signed ticket, encoded in base64url.
func (s *Signer) Seal(t Ticket) (string, error) {
	if !t.valid() {
		return "", errors.Wrap(ErrInvalid, "seal: incomplete ticket")
	}
	payload, err := json.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "seal ticket")
	}
	encoded := encoding.EncodeToString(append(s.sum(payload), payload...))
	if len(encoded) > MaxEncodedBytes {
		return "", errors.Wrapf(ErrInvalid, "seal: %d bytes encoded", len(encoded))
	}
	return encoded, nil
}

// Open returns the ticket encoded by Seal, or ErrInvalid. It verifies the signature
// in constant time before it decodes the payload.
func (s *Signer) Open(encoded string) (Ticket, error) {
	if len(encoded) > MaxEncodedBytes {
		return Ticket{}, ErrInvalid
	}
	// The decoder skips line breaks. Reject them, so that a ticket has only one encoding.
	raw, err := encoding.DecodeString(encoded)
	if err != nil || len(raw) < sha256.Size || strings.ContainsAny(encoded, "\r\n") {
		return Ticket{}, ErrInvalid
	}
	payload := raw[sha256.Size:]
	if !hmac.Equal(raw[:sha256.Size], s.sum(payload)) {
		return Ticket{}, ErrInvalid
	}
	var t Ticket
	if err := json.Unmarshal(payload, &t); err != nil || !t.valid() {
		return Ticket{}, ErrInvalid
	}
	return t, nil
}

func (s *Signer) sum(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(payload)
	return mac.Sum(nil)
}

// BodyDigest returns the digest that binds a ticket to one request: SHA-256 over
// the method, path, query and body, each preceded by its length, in base64url.
func BodyDigest(method, path, query string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), []byte(query), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return encoding.EncodeToString(h.Sum(nil))
}
