package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
	"github.com/hollowgrade/hollowgrade/peer"
	"github.com/hollowgrade/hollowgrade/upstream"
)

// runService forwards a call to the plain service and its response to the entry.
func (a *Agent) runService(ctx context.Context, j *job) error {
	if err := a.awaitGrant(ctx, j); err != nil {
		return err
	}
	defer a.stepDone()
	defer a.prefilled(a.cost(j))
	h := j.submit.Head
	if h == nil {
		return fault.New(fault.MalformedBody, "the call has no head")
	}
	check := upstream.WithPreSendCheck(ctx, func() error { return a.mayStart(j) })
	r, err := http.NewRequestWithContext(check, h.Method, h.Path, bytes.NewReader(j.body))
	if err != nil {
		return fault.New(fault.MalformedBody, "the call cannot be made: %v", err)
	}
	for _, v := range h.Headers {
		r.Header.Add(v.Name, v.Value)
	}
	if err = a.mayStart(j); err != nil {
		return err
	}
	if err = a.sendStarted(j); err != nil {
		return err
	}
	res, err := a.service.Do(r)
	if err != nil {
		return a.serviceError(ctx, err)
	}
	defer res.Body.Close()
	return a.forwardResponse(ctx, j, res)
}

func (a *Agent) forwardResponse(ctx context.Context, j *job, res *http.Response) error {
	h := &wire.ServiceHead{Status: int32(res.StatusCode)}
	for n, vs := range res.Header {
		for _, v := range vs {
			h.Headers = append(h.Headers, &wire.Header{Name: n, Value: v})
		}
	}
	if err := j.stream.Send(&wire.Frame{Body: &wire.Frame_ServiceHead{ServiceHead: h}}); err != nil {
		return errCallerGone
	}
	b := make([]byte, peer.MaxChunk)
	for {
		n, err := res.Body.Read(b)
		if n > 0 {
			j.count += n
			if e := j.stream.Send(peer.Chunk(b[:n], false)); e != nil {
				return errCallerGone
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return a.serviceError(ctx, err)
		}
	}
}

// serviceError returns the error to report for a failed call. A call that was never sent has not
// run; if the job's context has ended, its cause is the error.
func (a *Agent) serviceError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return fault.New(fault.UpstreamLost, "the service of %s: %v", a.box.Name, err).WithOutcome(hollowgrade.NotRun)
	case ctx.Err() != nil:
		return context.Cause(ctx)
	default:
		return err
	}
}
