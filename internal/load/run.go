package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/entry"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/measure"
)

// Result is the result of one planned request from its caller's point of view.
type Result struct {
	Request    Request
	Outcome    hollowgrade.Outcome
	Code       string
	Status     int
	FirstToken time.Duration
	Took       time.Duration
	Tokens     int
	Wrong      string // why a finished answer is wrong, or a refusal unreadable; else empty
	RequestID  string
}

// Runner sends plans.
type Runner struct {
	entries []string // base URLs, used round-robin as a load balancer would
	verify  bool
	client  *http.Client
	next    atomic.Uint64

	// Progress is called each progressEvery with the number of requests that were sent and of those
	// that have ended.
	Progress func(sent, ended int)
}

const idleConns = 4096

// NewRunner returns a runner. With verify, it compares each answer with the stand-in engine's.
func NewRunner(entries []string, verify bool) *Runner {
	t := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Runner{entries: entries, verify: verify, client: &http.Client{Transport: t}, Progress: func(int, int) {}}
}

const progressEvery = 2 * time.Second

// Run sends the plan and returns a result for each of its requests.
func (r *Runner) Run(ctx context.Context, p Plan) []Result {
	results := make([]Result, len(p.Requests))
	var sent, ended atomic.Int64
	var g sync.WaitGroup
	start := time.Now()
	stop := make(chan struct{})
	go r.report(stop, &sent, &ended)
	for i, q := range p.Requests {
		if !sleepUntil(ctx, start.Add(q.At)) {
			results[i] = Result{Request: q, Outcome: hollowgrade.NotRun, Code: "not sent"}
			continue
		}
		sent.Add(1)
		g.Go(func() {
			results[i] = r.send(ctx, q, p.Event)
			ended.Add(1)
		})
	}
	g.Wait()
	close(stop)
	return results
}

func (r *Runner) report(stop <-chan struct{}, sent, ended *atomic.Int64) {
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			r.Progress(int(sent.Load()), int(ended.Load()))
		}
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	w := time.NewTimer(time.Until(t))
	defer w.Stop()
	select {
	case <-w.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Runner) send(ctx context.Context, q Request, event string) (s Result) {
	s.Request = q
	start := time.Now()
	defer func() { s.Took = time.Since(start) }()
	h, prompt, err := r.newRequest(ctx, q, event)
	if err != nil {
		s.Outcome, s.Code = hollowgrade.NotRun, err.Error()
		return s
	}
	start = time.Now()
	res, err := r.client.Do(h)
	if err != nil {
		s.Outcome, s.Code = hollowgrade.Unknown, "connection: "+rootCause(err)
		return s
	}
	defer res.Body.Close()
	s.Status, s.RequestID = res.StatusCode, res.Header.Get(entry.RequestHeader)
	switch {
	case res.StatusCode != http.StatusOK:
		s.readRefusal(res.Body)
	case q.Kind.Service != "":
		s.readService(res.Body)
	default:
		s.readStream(res.Body, start, prompt, r.verify)
	}
	return s
}

// rootCause returns the text of the innermost error: the HTTP client's own error repeats the address.
func rootCause(err error) string {
	for u := errors.Unwrap(err); u != nil; u = errors.Unwrap(err) {
		err = u
	}
	return err.Error()
}

func (r *Runner) newRequest(ctx context.Context, q Request, event string) (h *http.Request, prompt string, err error) {
	base := r.entries[int(r.next.Add(1))%len(r.entries)]
	method, url := http.MethodPost, base+entry.CompletionsPath
	var body []byte
	if q.Kind.Service != "" {
		method, url = q.Kind.Method, fmt.Sprintf("%s%s%s/item/%d", base, entry.ServicesPath, q.Kind.Service, q.Index)
		body = []byte(fmt.Sprintf("call %d of %s, %016x", q.Index, q.Organisation.Name, q.seed))
	} else {
		prompt = q.PromptText()
		body, err = json.Marshal(CompletionCall{Model: q.Kind.Model, Prompt: prompt, MaxTokens: q.Kind.MaxTokens, Stream: true})
		if err != nil {
			return nil, "", err
		}
	}
	h, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	h.Header.Set("Authorization", "Bearer "+q.Organisation.Key)
	h.Header.Set(entry.KindHeader, q.Kind.Name)
	if event != "" {
		h.Header.Set(entry.EventHeader, event)
	}
	if q.Kind.Allowed > 0 {
		h.Header.Set(entry.AllowedHeader, time.Duration(q.Kind.Allowed).String())
	}
	if q.Key != "" {
		h.Header.Set(entry.KeyHeader, q.Key)
	}
	return h, prompt, nil
}

func (s *Result) readRefusal(b io.Reader) {
	var e entry.ErrorBody
	if err := json.NewDecoder(b).Decode(&e); err != nil || e.Error.Outcome == "" {
		s.Outcome, s.Wrong = hollowgrade.Unknown, "the refusal has no readable body"
		return
	}
	s.Outcome, s.Code = e.Error.Outcome, string(e.Error.Code)
}

func (s *Result) readService(b io.Reader) {
	v, err := io.ReadAll(b)
	if err != nil {
		s.Outcome, s.Code = hollowgrade.Unknown, "connection: "+rootCause(err)
		return
	}
	s.Outcome, s.Tokens = hollowgrade.Finished, len(v)
}

// readStream reads a streamed answer.
func (s *Result) readStream(b io.Reader, start time.Time, prompt string, verify bool) {
	v := ReadStream(b)
	s.Tokens = v.Tokens
	if !v.First.IsZero() {
		s.FirstToken = v.First.Sub(start)
	}
	switch {
	case v.Complete:
		s.finish(v.Text, prompt, verify)
	case v.Failure.Outcome != "":
		s.Outcome, s.Code = v.Failure.Outcome, string(v.Failure.Code)
	default:
		s.Outcome, s.Code = hollowgrade.Unknown, "connection: "+v.BreakReason
	}
}

func (s *Result) finish(text, prompt string, verify bool) {
	s.Outcome = hollowgrade.Finished
	if verify && text != standin.Answer(prompt, s.Request.Kind.MaxTokens) {
		s.Wrong = fmt.Sprintf("the answer of %d tokens is not the whole answer to this request", s.Tokens)
	}
}

// Summary is the summary of a run.
type Summary struct {
	Sent    int            `json:"sent"`
	Ended   int            `json:"accounted_for"`
	Wrong   int            `json:"wrong_answers"`
	Samples []string       `json:"wrong_samples,omitempty"`
	Report  measure.Report `json:"report"`
}

// Summarise summarises results from the callers' point of view.
func Summarise(rs []Result) (s Summary, err error) {
	r := measure.NewRecorder("callers", hollowgrade.SystemClock())
	for _, v := range rs {
		s.Sent++
		if v.Outcome != "" {
			s.Ended++
		}
		if v.Wrong != "" {
			s.Wrong++
			s.Samples = append(s.Samples, v.RequestID+": "+v.Wrong)
		}
		r.Add(measure.Sample{
			Organisation: v.Request.Organisation.Name,
			Kind:         v.Request.Kind.Name,
			Outcome:      v.Outcome,
			Code:         v.Code,
			PromptTokens: v.Request.Prompt,
			FirstToken:   v.FirstToken,
			Took:         v.Took,
			Attempts:     1,
		})
	}
	s.Samples = s.Samples[:min(len(s.Samples), maxSamples)]
	s.Report, err = measure.Merge([]measure.Snapshot{r.Snapshot()})
	return s, err
}

const maxSamples = 10
