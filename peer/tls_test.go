package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	a.cert, a.key = sign(t, nil, "authority")
	return a
}

func sign(t *testing.T, by *authority, name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: by == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := c, k
	if by != nil {
		parent, signer = by.cert, by.key
	}
	b, err := x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, signer)
	require.NoError(t, err)
	c, err = x509.ParseCertificate(b)
	require.NoError(t, err)
	return c, k
}

func writePEM(t *testing.T, path, kind string, b []byte) {
	t.Helper()
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600))
}

// issue writes the files of a box whose certificate is signed by one authority and which trusts
// another.
func issue(t *testing.T, by, trusts *authority) *Certificates {
	t.Helper()
	d := t.TempDir()
	cert, key, ca := filepath.Join(d, "cert"), filepath.Join(d, "key"), filepath.Join(d, "ca")
	c, k := sign(t, by, "box")
	b, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	writePEM(t, cert, "CERTIFICATE", c.Raw)
	writePEM(t, key, "EC PRIVATE KEY", b)
	writePEM(t, ca, "CERTIFICATE", trusts.cert.Raw)
	r, err := NewCertificates(cert, key, ca)
	require.NoError(t, err)
	return r
}

// serveTLS starts an echo server that requires certificates.
func serveTLS(t *testing.T, c *Certificates) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(func(_ context.Context, s *Stream, f *wire.Frame) error { return s.Send(f) }, func(net.Addr, error) {})
	go func() { _ = s.Serve(context.Background(), c.Listener(l)) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

// echo reports whether an exchange with the server works.
func echo(t *testing.T, d Dialer, address string) bool {
	t.Helper()
	c, err := Dial(context.Background(), d, address)
	if err != nil {
		return false
	}
	defer c.Close()
	s, err := c.Open(hello("a"))
	if err != nil {
		return false
	}
	_, err = s.Receive()
	return err == nil
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := issue(t, ours, ours)
	address := serveTLS(t, server)

	t.Run("peers of one authority talk", func(t *testing.T) {
		require.True(t, echo(t, WithTLS(TCP(), issue(t, ours, ours).Client), address))
	})
	t.Run("a client of another authority is refused", func(t *testing.T) {
		require.False(t, echo(t, WithTLS(TCP(), issue(t, theirs, ours).Client), address))
	})
	t.Run("a server of another authority is refused", func(t *testing.T) {
		require.False(t, echo(t, WithTLS(TCP(), issue(t, ours, theirs).Client), address))
	})
	t.Run("a client without TLS is refused", func(t *testing.T) {
		require.False(t, echo(t, TCP(), address))
	})
	t.Run("renewed files come into use", func(t *testing.T) {
		c, k := sign(t, theirs, "renewed")
		b, err := x509.MarshalECPrivateKey(k)
		require.NoError(t, err)
		writePEM(t, server.cert, "CERTIFICATE", c.Raw)
		writePEM(t, server.key, "EC PRIVATE KEY", b)
		later := time.Now().Add(time.Hour)
		require.NoError(t, os.Chtimes(server.cert, later, later))
		require.True(t, echo(t, WithTLS(TCP(), issue(t, ours, theirs).Client), address))
	})
}
