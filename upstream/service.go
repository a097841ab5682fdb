package upstream

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Service implements [hollowgrade.Service] for a plain service at one base URL.
type Service struct {
	base      *url.URL
	transport http.RoundTripper
}

// NewService returns a client for the service at the given base URL.
func NewService(base string, t http.RoundTripper) (s *Service, err error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, err
	}
	return &Service{base: u, transport: t}, nil
}

// Do implements [hollowgrade.Service]. The path of r is taken below the base
// URL. Redirects are handed back, not followed: a second call would be a
// second run.
func (s *Service) Do(r *http.Request) (*http.Response, error) {
	u := *s.base
	// Joined by hand: url.JoinPath would clean the path, which is the service's
	// to read, and drops the first slash below a base URL without a path.
	base := strings.TrimSuffix(u.Path, "/")
	u.Path, u.RawPath = base+r.URL.Path, base+r.URL.EscapedPath()
	u.RawQuery = r.URL.RawQuery
	r.URL = &u
	r.Host = u.Host
	return s.transport.RoundTrip(r)
}
