// Package linktest issues TLS certificates for tests that use package link.
package linktest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// validity is how long before and after the current time certificates are valid.
const validity = time.Hour

// Authority is a certificate authority for a test fleet.
type Authority struct {
	File string // PEM file of the authority's own certificate

	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Issued contains the paths of the PEM files of one certificate and its key.
type Issued struct{ Certificate, Key string }

// NewAuthority returns an authority whose files are removed when the test ends.
func NewAuthority(t testing.TB) *Authority {
	a := &Authority{cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
	}}
	a.key, a.File = a.sign(t, a.cert)
	return a
}

// Issue returns a certificate for name that is valid for servers and clients.
func (a *Authority) Issue(t testing.TB, name string) Issued {
	key, cert := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{name},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	return Issued{Certificate: cert, Key: writePEM(t, "EC PRIVATE KEY", der)}
}

func (a *Authority) sign(t testing.TB, cert *x509.Certificate) (*ecdsa.PrivateKey, string) {
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

func writePEM(t testing.TB, kind string, der []byte) string {
	path := filepath.Join(t.TempDir(), "file.pem")
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}
