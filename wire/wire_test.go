package wire

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestReplyFitsMessage(t *testing.T) {
	must.Less(t, MaxMessageBytes, MaxRequestBytes)
	must.Less(t, MaxRequestBytes, MaxReplyBytes)
}
