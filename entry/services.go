package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/callers"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// droppedHeaders are not forwarded to the service. A bearer key must never leave the entry.
var droppedHeaders = []string{"Authorization", "Content-Length", "Host"}

// organisationHeader names the caller's organisation to a service.
const organisationHeader = "Hollowgrade-Organisation"

// reservedHeaders are set by the entry alone; values from a caller or a service are dropped.
var reservedHeaders = []string{RequestHeader, organisationHeader}

// callService serves a call to a plain service.
func (e *Entry) callService(w http.ResponseWriter, r *http.Request, c caller) error {
	n := mux.Vars(r)["name"]
	if _, ok := c.config.Services[n]; !ok {
		return fault.New(fault.UnknownService, "there is no service %q", n)
	}
	b, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	q := &query{body: b, arrived: e.clock.Now(), head: serviceHead(r, n, c)}
	q.request, err = e.applyPolicy(r, c, hollowgrade.Request{Service: n})
	if err != nil {
		return err
	}
	defer callers.BoundWrites(w, q.request.Deadline)()
	s := &serviceAnswer{w: w}
	q.sink = s
	err = e.serve(r.Context(), q, c.organisation)
	if err != nil && s.began {
		// The status has been sent, so only closing the connection shows the
		// caller that the body is incomplete.
		panic(http.ErrAbortHandler)
	}
	return err
}

// serviceHead returns the head of the call as the service will receive it.
func serviceHead(r *http.Request, service string, c caller) *wire.ServiceHead {
	p := strings.TrimPrefix(r.URL.EscapedPath(), ServicesPath+service)
	if !strings.HasPrefix(p, "/") {
		p = "/" + p
	}
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	h := &wire.ServiceHead{Method: r.Method, Path: p}
	for n, vs := range hollowgrade.EndToEnd(r.Header) {
		if slices.Contains(droppedHeaders, n) || slices.Contains(reservedHeaders, n) {
			continue
		}
		for _, v := range vs {
			h.Headers = append(h.Headers, &wire.Header{Name: n, Value: v})
		}
	}
	h.Headers = append(h.Headers,
		&wire.Header{Name: RequestHeader, Value: c.id},
		&wire.Header{Name: organisationHeader, Value: c.organisation.Name})
	return h
}

// serviceAnswer is the sink of a plain service's answer.
type serviceAnswer struct {
	w     http.ResponseWriter
	began bool
}

// Token implements [sink].
func (p *serviceAnswer) Token(int, string) error {
	return nil
}

// Head implements [sink].
func (p *serviceAnswer) Head(h *wire.ServiceHead) error {
	from := http.Header{}
	for _, v := range h.Headers {
		from.Add(v.Name, v.Value)
	}
	for n, vs := range hollowgrade.EndToEnd(from) {
		if !slices.Contains(reservedHeaders, n) {
			p.w.Header()[n] = vs
		}
	}
	p.began = true
	p.w.WriteHeader(int(h.Status))
	return nil
}

// Data implements [sink].
func (p *serviceAnswer) Data(b []byte) error {
	if _, err := p.w.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(p.w).Flush()
}
