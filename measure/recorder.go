// Package measure records the outcomes of requests, as OpenTelemetry metrics for the platform's
// collectors and as mergeable histograms for the report.
package measure

import (
	"encoding/base64"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
)

// Buckets are the upper bounds, in tokens, of the buckets of prompt lengths. The last bucket has
// none.
var Buckets = []int{1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000}

var bucketNames = []string{"1k", "4k", "16k", "64k", "256k", "1M"}

// Bucket returns the name of the length bucket of a prompt. The bounds are 10% higher than named,
// since 1k tokens are sometimes 1,024.
func Bucket(tokens int) string {
	for i, b := range Buckets {
		if tokens <= b+b/10 {
			return bucketNames[i]
		}
	}
	return "over"
}

// BucketNames returns the names of the buckets, shortest first.
func BucketNames() []string {
	return append(slices.Clone(bucketNames), "over")
}

// MaxShortPromptTokens is the longest prompt that counts as short.
const MaxShortPromptTokens = 4_400

// Sample is one request that has ended.
type Sample struct {
	Organisation string
	Kind         string
	Service      string
	Outcome      hollowgrade.Outcome
	Code         string
	PromptTokens int
	FirstToken   time.Duration // zero if none was sent
	Ideal        time.Duration // time to first token on an idle fleet, zero if unknown
	Took         time.Duration
	Attempts     int
	Predicted    time.Duration // time to first token predicted at placement, zero if it was not placed
	Turn         string        // how its wait for a turn ended, empty if it didn't have to wait
	TurnWait     time.Duration // for that turn
}

// The range of the histograms. Times are in microseconds, slowdowns in
// hundredths.
const (
	lowest            = 1
	highest           = 3_600_000_000
	significantDigits = 2
)

const (
	maxKinds           = 32   // further ones are counted as "other"
	maxOrganisations   = 1024 // further ones are counted as "other"
	otherName          = "other"
	burnHistoryMinutes = 6 * 60
)

// Recorder keeps histograms of the requests of one box since its start. It is
// safe for concurrent use.
type Recorder struct {
	box   string
	clock hollowgrade.Clock

	mu            sync.Mutex
	began         time.Time
	series        map[seriesKey]*series
	outcomes      map[outcomeKey]int64
	slowdown      *hdrhistogram.Histogram
	organisations map[string]*hdrhistogram.Histogram
	objectives    map[string]config.Objective
	minutes       map[string][]Minute
	attempts      int64
	requests      int64
	kinds         map[string]bool
}

type seriesKey struct{ kind, bucket string }

type outcomeKey struct {
	kind    string
	outcome hollowgrade.Outcome
	code    string
}

type series struct {
	first, took *hdrhistogram.Histogram
}

// Minute counts the requests of one minute that met an objective and those
// that missed it.
type Minute struct {
	At   int64 `json:"at"` // Unix time of its start, in minutes
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

// NewRecorder returns an empty recorder for the box.
func NewRecorder(box string, k hollowgrade.Clock) *Recorder {
	return &Recorder{
		box:           box,
		clock:         k,
		began:         k.Now(),
		series:        map[seriesKey]*series{},
		outcomes:      map[outcomeKey]int64{},
		slowdown:      histogram(),
		organisations: map[string]*hdrhistogram.Histogram{},
		minutes:       map[string][]Minute{},
		kinds:         map[string]bool{},
	}
}

// BoundedKind returns the kind, or "other" once there are too many: callers choose kinds, and each
// is a series of its own.
func (r *Recorder) BoundedKind(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.kinds[kind] && len(r.kinds) >= maxKinds {
		return otherName
	}
	r.kinds[kind] = true
	return kind
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, significantDigits)
}

// SetObjectives sets the objectives that requests are compared with.
func (r *Recorder) SetObjectives(os map[string]config.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = os
}

// Add records a request.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.attempts += int64(s.Attempts)
	r.outcomes[outcomeKey{s.Kind, s.Outcome, s.Code}]++
	if s.FirstToken > 0 {
		v := r.seriesOf(seriesKey{s.Kind, Bucket(s.PromptTokens)})
		record(v.first, s.FirstToken.Microseconds())
		record(v.took, s.Took.Microseconds())
		record(r.organisation(s.Organisation), s.FirstToken.Microseconds())
	}
	if s.Ideal > 0 && s.FirstToken > 0 && s.PromptTokens <= MaxShortPromptTokens {
		record(r.slowdown, int64(100*s.FirstToken/s.Ideal))
	}
	for n, o := range r.objectives {
		if appliesTo(o, s) {
			r.count(n, meets(o, s))
		}
	}
}

// record adds a value, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, v int64) {
	_ = h.RecordValue(min(max(v, lowest), highest))
}

func (r *Recorder) seriesOf(k seriesKey) *series {
	s, ok := r.series[k]
	if !ok {
		s = &series{first: histogram(), took: histogram()}
		r.series[k] = s
	}
	return s
}

func (r *Recorder) organisation(n string) *hdrhistogram.Histogram {
	h, ok := r.organisations[n]
	if !ok && len(r.organisations) >= maxOrganisations {
		n = otherName
		h, ok = r.organisations[n]
	}
	if !ok {
		h = hdrhistogram.New(lowest, highest, 1)
		r.organisations[n] = h
	}
	return h
}

func appliesTo(o config.Objective, s Sample) bool {
	if o.FirstToken > 0 && s.PromptTokens == 0 {
		return false // a call to a plain service has no first token
	}
	return (o.Kind == "" || o.Kind == s.Kind) && (o.MaxPrompt == 0 || s.PromptTokens <= o.MaxPrompt) && !isCallerFault(s)
}

// isCallerFault reports whether the caller was at fault, so that no service could have answered the
// request.
func isCallerFault(s Sample) bool {
	return strings.HasPrefix(s.Code, "HG1")
}

func meets(o config.Objective, s Sample) bool {
	return s.Outcome == hollowgrade.Finished && (o.FirstToken == 0 || s.FirstToken <= time.Duration(o.FirstToken))
}

func (r *Recorder) count(objective string, good bool) {
	at := r.clock.Now().Unix() / 60
	ms := r.minutes[objective]
	if len(ms) == 0 || ms[len(ms)-1].At != at {
		ms = append(ms, Minute{At: at})
		ms = ms[max(len(ms)-burnHistoryMinutes, 0):]
	}
	if good {
		ms[len(ms)-1].Good++
	} else {
		ms[len(ms)-1].Bad++
	}
	r.minutes[objective] = ms
}

// Snapshot is what one box has recorded. Its histograms can be merged with those of others.
type Snapshot struct {
	Box           string              `json:"box"`
	Began         time.Time           `json:"began"`
	Taken         time.Time           `json:"taken"`
	Requests      int64               `json:"requests"`
	Attempts      int64               `json:"attempts"`
	Series        []SeriesSnapshot    `json:"series"`
	Outcomes      []OutcomeCount      `json:"outcomes"`
	Slowdown      string              `json:"slowdown"` // encoded histogram, in hundredths
	Organisations []OrganisationDelay `json:"organisations"`
	Objectives    []ObjectiveSnapshot `json:"objectives"`
}

// SeriesSnapshot holds the encoded histograms of one kind and length, in
// microseconds.
type SeriesSnapshot struct {
	Kind   string `json:"kind"`
	Bucket string `json:"bucket"`
	First  string `json:"first_token"`
	Took   string `json:"took"`
}

// OutcomeCount counts the requests of a kind with one outcome and code.
type OutcomeCount struct {
	Kind    string              `json:"kind"`
	Outcome hollowgrade.Outcome `json:"outcome"`
	Code    string              `json:"code,omitempty"`
	Count   int64               `json:"count"`
}

// OrganisationDelay holds the encoded histogram of the time to first token of
// one organisation, in microseconds.
type OrganisationDelay struct {
	Name  string `json:"name"`
	First string `json:"first_token"`
}

// ObjectiveSnapshot holds an objective and the requests that met or missed it, by minute.
type ObjectiveSnapshot struct {
	Objective config.Objective `json:"objective"`
	Minutes   []Minute         `json:"minutes"`
}

// Snapshot returns what has been recorded.
func (r *Recorder) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{
		Box:      r.box,
		Began:    r.began,
		Taken:    r.clock.Now(),
		Requests: r.requests,
		Attempts: r.attempts,
		Slowdown: encode(r.slowdown),
	}
	for k, v := range r.series {
		s.Series = append(s.Series, SeriesSnapshot{Kind: k.kind, Bucket: k.bucket, First: encode(v.first), Took: encode(v.took)})
	}
	for k, n := range r.outcomes {
		s.Outcomes = append(s.Outcomes, OutcomeCount{Kind: k.kind, Outcome: k.outcome, Code: k.code, Count: n})
	}
	for n, h := range r.organisations {
		s.Organisations = append(s.Organisations, OrganisationDelay{Name: n, First: encode(h)})
	}
	for n, o := range r.objectives {
		s.Objectives = append(s.Objectives, ObjectiveSnapshot{Objective: o, Minutes: slices.Clone(r.minutes[n])})
	}
	return s
}

func encode(h *hdrhistogram.Histogram) string {
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return ""
	}
	return string(b)
}

func decode(s string) (*hdrhistogram.Histogram, error) {
	if _, err := base64.StdEncoding.DecodeString(s); err != nil {
		return nil, err
	}
	return hdrhistogram.Decode([]byte(s))
}
