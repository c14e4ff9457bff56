package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// answeringRaw answers with the text, in which a signed success with a body takes the place of
// ANSWER.
func answeringRaw(text string) http.HandlerFunc {
	return raw(strings.ReplaceAll(text, "ANSWER", "HTTP/1.1 200"+signed+"Content-Length: 5\r\n\r\ninner"), false)
}

// checkNotPassedOn checks that callers of all kinds of routes get no success, or one of another
// upstream, if an upstream answers with the text.
func checkNotPassedOn(t *testing.T, name, text string) {
	t.Helper()
	for _, path := range uploadRoutes {
		t.Run(fmt.Sprint(name, path), func(t *testing.T) {
			t.Parallel()
			odd := newReplica(t, "i-1", answeringRaw(text))
			f := newFixture(t, odd)
			response, body := f.do(t, f.newRequest(t, http.MethodPost, path, "x"))
			must.Eq(t, http.StatusBadGateway, response.StatusCode, must.Sprint(body))
			must.Eq(t, "", response.Header.Get(signature))
			if path != "/safe/" {
				return
			}
			f.setUpstreams(odd, newReplica(t, "i-2", answering("whole")))
			response, body = f.do(t, f.newRequest(t, http.MethodPost, path, "x"))
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, "whole", body)
		})
	}
}

// Guards against an answer whose status is no status, passed on as what follows it.
func TestAnswerWithoutAValidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "1000"} {
		checkNotPassedOn(t, fmt.Sprint("status ", status), "HTTP/1.1 "+status+" OK\r\nATTEMPT\r\nANSWER")
	}
}

// Guards against an answer in whose head the name of a field holds a blank or a control byte,
// passed on with that line or with another body.
func TestAnswerWithABadFieldNameIsNotPassedOn(t *testing.T) {
	for _, field := range []string{"X Y: 1", "X : 1", " X: 1", "X\x01Y: 1", "X\x7f: 1", "Content-Length : 5", "Transfer-Encoding : chunked"} {
		checkNotPassedOn(t, fmt.Sprintf("%q", field), "HTTP/1.1 200"+signed+field+"\r\n\r\n"+twoEvents)
	}
}

// Guards against an answer whose upstream stops in the middle of its head, passed on as a whole one
// with an empty or short body.
func TestHeadThatEndsEarlyIsNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200" + signed + "Content-Length: 1000\r\n\r\n"
	for n := range len(head) {
		checkNotPassedOn(t, fmt.Sprint("byte ", n), head[:n])
	}
}

// controlValues are fields whose values have a control byte, at the beginning, inside and at the
// end. A line break ends the value, and blanks around it are no part of it.
func controlValues() (fields []string) {
	for b := range 128 {
		if c := string([]byte{byte(b)}); (b < 32 || b == 127) && !strings.Contains("\t\n\r", c) {
			fields = append(fields, "X: "+c+"ab", "X: a"+c+"b", "X: ab"+c)
		}
	}
	return append(fields, "X: \rab", "X: a\rContent-Length: 3", "Content-Type: text/\x00plain")
}

// Guards against an answer with a control byte in the value of a field, passed on with it: callers
// reject the head, or read other fields.
func TestAnswerWithABadFieldValueIsNotPassedOn(t *testing.T) {
	for _, field := range controlValues() {
		checkNotPassedOn(t, fmt.Sprintf("%q", field), "HTTP/1.1 200"+signed+field+"\r\nContent-Length: 5\r\n\r\ninner")
	}
}

// Tabs, blanks and other bytes that a value may have are passed on, and trailers are not.
func TestAnswerWithUnusualFieldValuesIsWhole(t *testing.T) {
	text := "HTTP/1.1 200" + signed + "X: a\tb \xc3\xa9 \x80\"\r\nY:\r\nTrailer: Z\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\nZ: 1\r\n\r\n"
	f := newFixture(t, newReplica(t, "i-1", raw(text, false)))
	response, body := f.do(t, f.newRequest(t, http.MethodPost, "/safe/", "x"))
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "inner", body)
	must.Eq(t, "a\tb \xc3\xa9 \x80\"", response.Header.Get("X"))
	must.MapEmpty(t, response.Trailer)
}
