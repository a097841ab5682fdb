package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// Certificates reads the files for mutual TLS, and reads them again when they
// change, so that renewed certificates come into use without a restart.
type Certificates struct {
	cert, key, ca string

	mu      sync.Mutex
	modTime time.Time // newest modification time of the loaded files
	pair    tls.Certificate
	pool    *x509.CertPool
}

// NewCertificates reads the files for the first time.
func NewCertificates(cert, key, ca string) (c *Certificates, err error) {
	c = &Certificates{cert: cert, key: key, ca: ca}
	if err = c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// load reads the files if one of them has changed. After a failure the previous ones stay in use.
func (c *Certificates) load() (err error) {
	defer errs.Annotate(&err, "read certificates")
	c.mu.Lock()
	defer c.mu.Unlock()
	newest, err := c.newest()
	if err != nil || !newest.After(c.modTime) {
		return err
	}
	p, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return err
	}
	b, err := os.ReadFile(c.ca)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return fmt.Errorf("%s holds no certificate", c.ca)
	}
	c.pair, c.pool, c.modTime = p, pool, newest
	return nil
}

func (c *Certificates) newest() (t time.Time, err error) {
	for _, f := range []string{c.cert, c.key, c.ca} {
		i, err := os.Stat(f)
		if err != nil {
			return t, err
		}
		if i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t, nil
}

// Client returns the configuration for the next connection to a peer. Peers are verified by their
// authority, not by name, since boxes may have any address.
func (c *Certificates) Client() *tls.Config {
	_ = c.load()
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pool
	return &tls.Config{
		Certificates: []tls.Certificate{c.pair},
		MinVersion:   tls.VersionTLS13,
		// The host name is not checked; the chain is, below.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, pool) },
	}
}

func verify(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	for _, i := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(i)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// Listener wraps a listener so that peers must use TLS and present a certificate.
func (c *Certificates) Listener(l net.Listener) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			_ = c.load()
			c.mu.Lock()
			defer c.mu.Unlock()
			return &tls.Config{
				Certificates: []tls.Certificate{c.pair},
				MinVersion:   tls.VersionTLS13,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.pool,
			}, nil
		},
	})
}

// IsLoopback reports whether an address can be reached from this machine only.
func IsLoopback(address string) bool {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if h == "localhost" {
		return true
	}
	i := net.ParseIP(h)
	return i != nil && i.IsLoopback()
}
