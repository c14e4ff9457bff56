package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// authority signs certificates of a test fleet.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}}
	a.key, a.file = a.sign(t, a.cert)
	return a
}

func (a *authority) sign(t *testing.T, cert *x509.Certificate) (*ecdsa.PrivateKey, string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	signer := a.key
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, signer)
	must.NoError(t, err)
	return key, writePEM(t, "CERTIFICATE", der)
}

func writePEM(t *testing.T, kind string, der []byte) string {
	path := filepath.Join(t.TempDir(), "file.pem")
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// files returns the settings of a process with a certificate for name.
func (a *authority) files(t *testing.T, name string) TLSFiles {
	key, cert := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	return TLSFiles{Certificate: cert, Key: writePEM(t, "EC PRIVATE KEY", der), CA: a.file}
}

func TestMutualTLS(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	config := loadTLS(t, fleet.files(t, DefaultServerName))
	e := newEcho()
	_, address := startServer(t, ServerOptions{TLS: config}, e)

	foreign := stranger.files(t, DefaultServerName)
	foreign.CA = fleet.file
	bare := loadTLS(t, fleet.files(t, DefaultServerName))
	bare.Certificates = nil
	other := fleet.files(t, DefaultServerName)
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
	for _, files := range []TLSFiles{{Certificate: "none", Key: "none", CA: "none"}, {CA: fleet.file}} {
		_, err := files.Load()
		must.Error(t, err)
	}
}

func loadTLS(t *testing.T, f TLSFiles) *tls.Config {
	config, err := f.Load()
	must.NoError(t, err)
	return config
}
