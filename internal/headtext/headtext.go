// Package headtext checks texts that are written into the head of an HTTP message (RFC 9110,
// RFC 9112). A line break in one of them ends a field, and an empty line the head: what follows
// is read as a body, or as the next message on the connection.
package headtext

import (
	"slices"
	"strings"
)

// IsName reports whether the text can be the name of a field, or a method (RFC 9110, section
// 5.6.2).
func IsName(text string) bool { return text != "" && consistsOf(text, isTokenByte) }

// IsValue reports whether the text can be the value of a field (RFC 9110, section 5.5). Blanks and
// tabs at its ends are not part of the value that a recipient reads.
func IsValue(text string) bool {
	return consistsOf(text, func(c byte) bool { return c == '\t' || !isControl(c) })
}

// IsIdentifier reports whether a recipient reads the text from a field as it was written: it is a
// value that is not empty and neither begins nor ends with a blank or a tab.
func IsIdentifier(text string) bool {
	return text != "" && IsValue(text) && !isBlank(text[0]) && !isBlank(text[len(text)-1])
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// IsTarget reports whether the text can stand between the blanks of a request line.
func IsTarget(text string) bool {
	return text != "" && consistsOf(text, func(c byte) bool { return c != ' ' && !isControl(c) })
}

// IsHost reports whether the text can be the value of the field Host, with or without a port (RFC
// 3986, section 3.2.2).
func IsHost(text string) bool {
	return consistsOf(text, func(c byte) bool { return isLetterOrDigit(c) || strings.IndexByte("-._~!$&'()*+,;=%:[]", c) >= 0 })
}

// AreFields reports whether fields that net/http has not parsed can be written into a head, those of
// an answer too: it writes a value with blanks for line breaks, and leaves out a name that is none.
func AreFields(fields map[string][]string) bool {
	for name, values := range fields {
		if !IsName(name) || slices.ContainsFunc(values, func(value string) bool { return !IsValue(value) }) {
			return false
		}
	}
	return true
}

// HasControl reports whether the text has a control byte, 0 to 31 or 127.
func HasControl(text string) bool {
	return !consistsOf(text, func(c byte) bool { return !isControl(c) })
}

func consistsOf(text string, allowed func(byte) bool) bool {
	for i := range len(text) {
		if !allowed(text[i]) {
			return false
		}
	}
	return true
}

func isControl(c byte) bool { return c < ' ' || c == 0x7f }

func isTokenByte(c byte) bool {
	return isLetterOrDigit(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func isLetterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}
