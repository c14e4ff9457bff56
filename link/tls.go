package link

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// DefaultServerName is the DNS name in every certificate of the fleet.
// Certificates are not issued per address because hosts are replaced too often.
const DefaultServerName = "dandelionrill.internal"

// TLSFiles are the paths of the PEM files for mutual TLS between the processes
// of the fleet.
type TLSFiles struct {
	Certificate string
	Key         string
	CA          string
	ServerName  string // DNS name in the peer's certificate; DefaultServerName if empty
}

// Load reads the files and returns a configuration for both clients and servers:
// each side presents its certificate and verifies the other's against CA. If no
// file is set, it returns nil and no error.
func (f TLSFiles) Load() (*tls.Config, error) {
	if f.Certificate == "" && f.Key == "" && f.CA == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %q and key %q", f.Certificate, f.Key)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrapf(err, "read CA %q", f.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("CA file %q contains no PEM certificate", f.CA)
	}
	name := f.ServerName
	if name == "" {
		name = DefaultServerName
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   name,
	}, nil
}

// IsLoopback reports whether address, a host:port pair, is a loopback address.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
