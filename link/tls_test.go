package link

import (
	"crypto/tls"
	"testing"

	"dandelionrill.example/fleet/linktest"

	"github.com/shoenig/test/must"
)

// files returns the settings of a process with a certificate of an authority.
func files(t *testing.T, a *linktest.Authority) TLSFiles {
	issued := a.Issue(t, DefaultServerName)
	return TLSFiles{Certificate: issued.Certificate, Key: issued.Key, CA: a.File}
}

func TestMutualTLS(t *testing.T) {
	fleet, stranger := linktest.NewAuthority(t), linktest.NewAuthority(t)
	config := loadTLS(t, files(t, fleet))
	e := newEcho()
	_, address := startServer(t, ServerOptions{TLS: config}, e)

	foreign := files(t, stranger)
	foreign.CA = fleet.File
	bare := loadTLS(t, files(t, fleet))
	bare.Certificates = nil
	other := files(t, fleet)
	other.ServerName = "other.internal"

	for _, tc := range []struct {
		name   string
		opts   ClientOptions
		answer bool
	}{
		{"own certificate", ClientOptions{TLS: config}, true},
		{"certificate of a stranger", ClientOptions{TLS: loadTLS(t, foreign)}, false},
		{"no certificate", ClientOptions{TLS: bare}, false},
		{"server of another name", ClientOptions{TLS: loadTLS(t, other)}, false},
		{"plain", ClientOptions{}, false},
	} {
		tc.opts.Address = address
		ran := e.ran.Load()
		err := newTestClient(t, tc.opts).Call(testContext(t), "Echo.Size", Message{}, &Message{})
		must.Eq(t, tc.answer, err == nil, must.Sprint(tc.name, err))
		must.Eq(t, tc.answer, e.ran.Load() > ran, must.Sprint(tc.name))
	}
	for _, wrong := range []TLSFiles{{Certificate: "none", Key: "none", CA: "none"}, {CA: fleet.File}} {
		_, err := wrong.Load()
		must.Error(t, err)
	}
}

func loadTLS(t *testing.T, f TLSFiles) *tls.Config {
	config, err := f.Load()
	must.NoError(t, err)
	return config
}
