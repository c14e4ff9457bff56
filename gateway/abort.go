package gateway

import "net/http"

// lingerer is a connection of which the close can be made a reset, such as *net.TCPConn.
type lingerer interface{ SetLinger(sec int) error }

// abort ends a response so that it does not look complete. It panics with
// http.ErrAbortHandler, which closes the connection. Over HTTP/1.0 a body without a length
// ends with the connection, so that this is reset.
func abort(w http.ResponseWriter, r *http.Request) {
	defer panic(http.ErrAbortHandler)
	if r.ProtoAtLeast(1, 1) {
		return // the last chunk is missing
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // its connection has ended
	}
	if c, ok := conn.(lingerer); ok {
		_ = c.SetLinger(0) // if this fails, the connection has ended
	}
	_ = conn.Close()
}
