package loopback

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Two runs that choose addresses at the same time must not get the same one: the
// servers of one would register with the other's platform.
func TestReservationsAreExclusive(t *testing.T) {
	seen := make(map[string]bool)
	for range 20 {
		r, err := Reserve()
		must.NoError(t, err)
		t.Cleanup(func() { must.NoError(t, r.Release()) })
		must.False(t, seen[r.IP])
		seen[r.IP] = true
		l, err := net.Listen("tcp", net.JoinHostPort(r.IP, "20000"))
		must.NoError(t, err)
		must.NoError(t, l.Close())
	}
}

func TestReleasedAddressIsReservedAgain(t *testing.T) {
	first, err := Reserve()
	must.NoError(t, err)
	must.NoError(t, first.Release())
	second, err := Reserve()
	must.NoError(t, err)
	defer func() { must.NoError(t, second.Release()) }()
	must.Eq(t, first.IP, second.IP)
}
