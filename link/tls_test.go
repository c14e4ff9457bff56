package link

import (
	"crypto/tls"
	"testing"

	"dandelionrill.example/fleet/linktest"

	"github.com/shoenig/test/must"
)

// tlsFiles returns the files of a process whose certificate was issued by a.
func tlsFiles(t *testing.T, a *linktest.Authority) TLSFiles {
	issued := a.Issue(t, DefaultServerName)
	return TLSFiles{Certificate: issued.Certificate, Key: issued.Key, CA: a.File}
}

func TestMutualTLS(t *testing.T) {
	fleet, otherAuthority := linktest.NewAuthority(t), linktest.NewAuthority(t)
	config := loadTLS(t, tlsFiles(t, fleet))
	e := newEcho()
	_, address := startServer(t, ServerOptions{TLS: config}, e)

	foreign := tlsFiles(t, otherAuthority)
	foreign.CA = fleet.File
	noCertificate := loadTLS(t, tlsFiles(t, fleet))
	noCertificate.Certificates = nil
	other := tlsFiles(t, fleet)
	other.ServerName = "other.internal"

	for _, tc := range []struct {
		name   string
		opts   ClientOptions
		answer bool
	}{
		{"own certificate", ClientOptions{TLS: config}, true},
		{"certificate of another authority", ClientOptions{TLS: loadTLS(t, foreign)}, false},
		{"no certificate", ClientOptions{TLS: noCertificate}, false},
		{"server with another name", ClientOptions{TLS: loadTLS(t, other)}, false},
		{"unencrypted", ClientOptions{}, false},
	} {
		tc.opts.Address = address
		ran := e.sizeCalls.Load()
		err := newTestClient(t, tc.opts).Call(testContext(t), "Echo.Size", Message{}, &Message{})
		must.Eq(t, tc.answer, err == nil, must.Sprint(tc.name, err))
		must.Eq(t, tc.answer, e.sizeCalls.Load() > ran, must.Sprint(tc.name))
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
