package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade/internal/answer"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTimeout bounds the time to connect to a plain service. A call that got no connection has not
// run, and can be sent elsewhere while there is time.
const dialTimeout = time.Second

// ErrNotSent is in the chain of the error of a call that got no connection: no byte of it was sent.
var ErrNotSent = errors.New("no connection to the service")

type checkKey struct{}

// WithPreSendCheck returns a context whose check runs once more after a connection has been opened
// for a call, which can take long. An error from it prevents the call from being sent.
func WithPreSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// ServiceTransport returns an HTTP transport for a plain service, with a connection for each call. A
// nil dial function stands for the default one.
func ServiceTransport(d DialFunc) *http.Transport {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	t := Transport(func(ctx context.Context, network, address string) (c net.Conn, err error) {
		t, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if c, err = d(t, network, address); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if check, ok := ctx.Value(checkKey{}).(func() error); ok {
			if err = check(); err != nil {
				return nil, errors.Join(fmt.Errorf("%w: %w", ErrNotSent, err), c.Close())
			}
		}
		return c, nil
	})
	// net/http sends a call with an idempotency key or without a body again if a connection that it
	// had used before ends without an answer.
	t.DisableKeepAlives = true
	return t
}

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

// Do implements [hollowgrade.Service]. The path of r is resolved below the base URL. Redirects are
// returned and not followed: a second call would be a second run. The error wraps
// [hollowgrade.ErrNotAnAnswer] if the service sent a head that is that of no answer.
func (s *Service) Do(r *http.Request) (*http.Response, error) {
	u := *s.base
	// Not joined by url.JoinPath: it would clean the path, which is for the service to interpret,
	// and drop the first slash below a base URL without a path.
	base := strings.TrimSuffix(u.Path, "/")
	u.Path, u.RawPath = base+r.URL.Path, base+r.URL.EscapedPath()
	u.RawQuery = r.URL.RawQuery
	r.URL = &u
	r.Host = u.Host
	return checkHead(s.transport.RoundTrip(r.WithContext(answer.WithTrace(r.Context()))))
}

// checkHead returns a response if its head is that of an answer.
func checkHead(res *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err = answer.CheckHead(res); err != nil {
		return nil, errors.Join(err, res.Body.Close())
	}
	return res, nil
}
