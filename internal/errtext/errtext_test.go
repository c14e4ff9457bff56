package errtext

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

func TestBound(t *testing.T) {
	must.NoError(t, Bound(nil))
	must.True(t, Bound(io.EOF) == io.EOF)
	longest := errors.New(strings.Repeat("x", MaxBytes))
	must.ErrorIs(t, Bound(longest), longest)
	must.EqError(t, Bound(errors.New(strings.Repeat("x", 10*MaxBytes))), strings.Repeat("x", MaxBytes-3)+"...")
}
