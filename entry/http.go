package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/callers"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/policy"
)

// The headers that callers send.
const (
	AllowedHeader = "Hollowgrade-Allowed"
	KindHeader    = "Hollowgrade-Kind"
	EventHeader   = "Hollowgrade-Event"
	KeyHeader     = "Idempotency-Key"
)

// The headers that callers receive.
const (
	RequestHeader  = "X-Request-Id"
	RevisionHeader = "Hollowgrade-Revision"
	ReplayHeader   = "Hollowgrade-Replayed"
)

// The paths that the entry serves.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
	KeysPath        = "/v1/keys"
	ServicesPath    = "/services/"
	ReadyPath       = "/healthz/ready"
)

const (
	maxNameBytes  = 64  // of kind and event
	maxKeyBytes   = 256 // of an idempotency key
	bytesPerToken = 4   // assumed size of a token until the engine has tokenised a prompt
)

func (e *Entry) router() http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc(CompletionsPath, e.handle(e.completion)).Methods(http.MethodPost)
	r.HandleFunc(ChatPath, e.handle(e.chat)).Methods(http.MethodPost)
	r.HandleFunc(KeysPath, e.handle(e.mintKey)).Methods(http.MethodPost)
	r.PathPrefix(ServicesPath + "{name}").HandlerFunc(e.handle(e.callService))
	r.HandleFunc(ReadyPath, e.serveReady)
	r.NotFoundHandler = e.handle(func(http.ResponseWriter, *http.Request, caller) error {
		return fault.New(fault.NoSuchPath, "there is no such path")
	})
	r.MethodNotAllowedHandler = e.handle(func(w http.ResponseWriter, r *http.Request, _ caller) error {
		// Every path with a fixed method takes POST only.
		w.Header().Set("Allow", http.MethodPost)
		return fault.New(fault.WrongMethod, "the path does not take the method %s", r.Method)
	})
	return r
}

// serveReady answers the health check of the platform's balancer, which reaches only this listener.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, why := e.Ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
	}
}

// caller identifies the sender of a request.
type caller struct {
	id           string // of the request
	organisation config.Organisation
	config       *config.Config
}

type handler func(w http.ResponseWriter, r *http.Request, c caller) error

// handle authenticates the caller and turns errors into error responses.
func (e *Entry) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := caller{id: uuid.NewString(), config: e.config.Load()}
		bodyBy := time.Now().Add(e.limits.BodyTimeout)
		callers.BoundBody(w, r, bodyBy)
		read := markReads(r)
		w.Header().Set(RequestHeader, c.id)
		if ok, _ := e.Ready(); !ok {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set(RevisionHeader, strconv.FormatInt(c.config.Revision, 10))
		err := e.authenticate(r, &c)
		if err == nil {
			err = h(w, r, c)
		}
		if err != nil {
			if !read() {
				callers.RefuseBody(w, r, bodyBy)
			}
			e.refuse(w, c.id, err)
		}
	}
}

// readMark records whether a body has been read from.
type readMark struct {
	io.ReadCloser
	read bool
}

// Read implements [io.Reader].
func (m *readMark) Read(b []byte) (int, error) {
	m.read = true
	return m.ReadCloser.Read(b)
}

// markReads returns a function that reports whether the body of the request has been read from.
func markReads(r *http.Request) (read func() bool) {
	if r.Body == http.NoBody {
		return func() bool { return true }
	}
	m := &readMark{ReadCloser: r.Body}
	r.Body = m
	return func() bool { return m.read }
}

// readBody reads the whole body of a caller, within the limits of size and time.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	by := time.Now().Add(e.limits.BodyTimeout)
	callers.BoundBody(w, r, by)
	if !callers.ClaimBody(callers.Claim(r, e.budget), r, e.limits.MaxBodyBytes) {
		return nil, callers.NoMemory()
	}
	return callers.ReadBody(w, r, e.limits.MaxBodyBytes, by)
}

// authenticate finds the organisation by the bearer key alone; other headers of the caller are not
// trusted.
func (e *Entry) authenticate(r *http.Request, c *caller) error {
	if c.config.Revision == 0 {
		return fault.New(fault.NoConfiguration, "entry %s has no configuration yet", e.box.Name).WithRetryAfter(shortRetryAfter)
	}
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return fault.New(fault.NoKey, "send the header Authorization: Bearer KEY")
	}
	c.organisation, ok = c.config.Authenticate(k)
	if !ok {
		return fault.New(fault.WrongKey, "the bearer key belongs to no organisation")
	}
	return nil
}

// ErrorBody is the JSON object that describes a refusal or a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an [ErrorBody].
type ErrorDetail struct {
	Message    string              `json:"message"`
	Code       fault.Code          `json:"code"`
	Outcome    hollowgrade.Outcome `json:"outcome"`
	RequestID  string              `json:"request_id"`
	RetryAfter float64             `json:"retry_after,omitempty"` // seconds
}

func errorBody(id string, f *fault.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Message:    f.Message,
		Code:       f.Code,
		Outcome:    f.Outcome,
		RequestID:  id,
		RetryAfter: f.RetryAfter.Seconds(),
	}}
}

// refuse sends an error response. No byte of an answer may have been sent before.
func (e *Entry) refuse(w http.ResponseWriter, id string, err error) {
	f := fault.As(err, hollowgrade.Unknown)
	if f.Code == fault.Internal {
		e.log.Error("internal error", "request", id, "err", err)
	}
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(errorBody(id, f))
}

// applyPolicy applies the organisation's policy and the values that the caller sets by headers.
func (e *Entry) applyPolicy(r *http.Request, c caller, q hollowgrade.Request) (hollowgrade.Request, error) {
	p := c.config.PolicyFor(c.organisation)
	if p == nil {
		return q, fault.New(fault.NoConfiguration, "no policy is published").WithRetryAfter(shortRetryAfter)
	}
	q.ID, q.Organisation = c.id, c.organisation.Name
	q.Kind, q.Event, q.Key = r.Header.Get(KindHeader), r.Header.Get(EventHeader), r.Header.Get(KeyHeader)
	if err := checkHeaders(q); err != nil {
		return q, err
	}
	now := e.clock.Now()
	d, err := p.Decide(policy.Input{
		Organisation: q.Organisation,
		Event:        q.Event,
		Phase:        phase(c.config, q.Event, now),
		Kind:         q.Kind,
		Model:        q.Model,
		Service:      q.Service,
		Method:       r.Method,
		PromptTokens: q.PromptTokens,
		MaxTokens:    q.MaxTokens,
	})
	if err != nil {
		return q, fmt.Errorf("decide: %w", err)
	}
	if d.Allowed, err = allowedTime(r, d.Allowed); err != nil {
		return q, err
	}
	if !d.Repeatable && q.Key == "" {
		return q, fault.New(fault.KeyNeeded, "a request of this kind may not be repeated and needs the header %s", KeyHeader)
	}
	if d.Repeatable {
		q.Key = ""
	}
	return q.WithDecision(d, now), nil
}

func phase(c *config.Config, event string, now time.Time) policy.Phase {
	v, ok := c.Events[event]
	if !ok {
		return policy.NoEvent
	}
	return v.Phase(now)
}

func checkHeaders(q hollowgrade.Request) error {
	if !printable(q.Kind, maxNameBytes) {
		return fault.New(fault.BadHeader, "%s must be at most %d printable characters", KindHeader, maxNameBytes)
	}
	if !printable(q.Event, maxNameBytes) {
		return fault.New(fault.BadHeader, "%s must be at most %d printable characters", EventHeader, maxNameBytes)
	}
	if !printable(q.Key, maxKeyBytes) {
		return fault.New(fault.BadHeader, "%s must be at most %d printable characters", KeyHeader, maxKeyBytes)
	}
	return nil
}

func printable(s string, limit int) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(s) <= limit
}

// allowedTime returns the time that the caller requests, but at most the limit of the policy.
func allowedTime(r *http.Request, limit time.Duration) (time.Duration, error) {
	h := r.Header.Get(AllowedHeader)
	if h == "" {
		return limit, nil
	}
	d, err := time.ParseDuration(h)
	if err != nil || d <= 0 {
		return 0, fault.New(fault.BadHeader, "%s is %q, it must be a positive duration such as 1500ms or 30s", AllowedHeader, h)
	}
	return min(d, limit), nil
}
