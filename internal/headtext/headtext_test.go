package headtext

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// around returns the text alone, and at the beginning, inside and at the end of another.
func around(text string) []string { return []string{text, text + "ab", "a" + text + "b", "ab" + text} }

// Guards against a text with a control byte that passes: written into a head, a line break ends
// the field, and other bytes make recipients reject the message or read another value.
func TestControlBytesAreRefused(t *testing.T) {
	for b := range 256 {
		control := b < 32 || b == 127
		for _, text := range around(string([]byte{byte(b)})) {
			description := must.Sprintf("%q", text)
			must.Eq(t, control, HasControl(text), description)
			must.Eq(t, !control || b == '\t', IsValue(text), description)
			must.Eq(t, !control && b != ' ', IsTarget(text), description)
			if control {
				must.Eq(t, text == "a\tb", IsIdentifier(text), description)
				must.False(t, IsName(text), description)
				must.False(t, IsHost(text), description)
			}
		}
	}
}

// What passes must come as it was written, by the parser of net/http, and what a sound text may
// have must pass.
func TestTextsThatPassArriveAsWritten(t *testing.T) {
	for b := range 256 {
		for _, text := range around(string([]byte{byte(b)})) {
			if !IsIdentifier(text) {
				continue
			}
			head := "GET / HTTP/1.1\r\nHost: h\r\nX: " + text + "\r\nY: 1\r\n\r\n"
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			must.NoError(t, err)
			must.Eq(t, []string{text}, request.Header["X"])
			must.Eq(t, "1", request.Header.Get("Y"))
		}
	}
	for _, text := range []string{"i-7f3a91c2", "a b", "a\tb", "Genossenschaft Zürich", "สหกรณ์", "a,b;c=\"d\"", "\u0085"} {
		must.True(t, IsIdentifier(text), must.Sprint(text))
	}
	for _, text := range []string{"", " ", "\t", " a", "a ", "\ta", "a\t"} {
		must.False(t, IsIdentifier(text), must.Sprintf("%q", text))
	}
	for _, text := range []string{"", "h.example", "h.example:80", "10.0.0.1:80", "[fe80::1%25eth0]:80"} {
		must.True(t, IsHost(text), must.Sprint(text))
	}
	for _, text := range []string{"a b", "a/b", "a?b", "a#b", "a@b", "a\"b", "a<b", "a\\b", "a\x80"} {
		must.False(t, IsHost(text), must.Sprintf("%q", text))
	}
	for _, text := range []string{"/", "/a//b/%2f?x=1", "/\xc3\xa9", "*"} {
		must.True(t, IsTarget(text), must.Sprint(text))
	}
	must.False(t, IsTarget(""))
}

// A name is a token: anything else could hide a field, or add one.
func TestNamesAreTokens(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		c := string([]byte{byte(b)})
		for _, name := range around(c) {
			must.Eq(t, strings.Contains(token, c), IsName(name), must.Sprint(fmt.Sprintf("%q", name)))
		}
	}
	must.False(t, IsName(""))
}
