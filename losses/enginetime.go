package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// The messages of the log lines that tell of the engines' time.
const (
	sentMessage     = "sent"
	notSentMessage  = "not sent"
	listedMessage   = "upstream listed"
	unlistedMessage = "upstream unlisted"
)

// DefaultLong is the published prefill time on one engine from which a prompt counts as long.
const DefaultLong = time.Second

// Option changes how logs are read.
type Option func(*engineTime)

// WithLong sets the published prefill time from which a prompt counts as long.
func WithLong(d time.Duration) Option {
	return func(t *engineTime) { t.long = d }
}

// WithEngines sets the number of engines of services, in place of those that the logs list.
func WithEngines(n map[string]int) Option {
	return func(t *engineTime) { t.engines = n }
}

// EngineSecond is the engines' time of one service in one second: what its calls asked for and got,
// by published prefill times. Calls count when they are sent or refused.
type EngineSecond struct {
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	Engines int       `json:"engines"`           // 0 if not known
	Used    float64   `json:"used_seconds"`      // of all calls that were sent
	Sent    float64   `json:"sent_seconds"`      // of long prompts that were sent
	Refused float64   `json:"refused_seconds"`   // of long prompts that were refused
	Again   float64   `json:"came_back_seconds"` // of long prompts, sent or refused, that had been refused before
}

// placement is the part of a log line that tells of the engines' time.
type placement struct {
	Time        time.Time `json:"time"`
	Message     string    `json:"msg"`
	Request     string    `json:"request"`
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Upstream    string    `json:"upstream"`
	Helpers     []string  `json:"helpers"`
	PartMS      int64     `json:"reading_ms"` // of the part of each engine
	WorkMS      int64     `json:"work_ms"`    // of the whole prompt
	Again       bool      `json:"again"`
}

// work returns the published prefill time of the whole prompt.
func (l *placement) work() time.Duration {
	if l.Message == notSentMessage {
		return time.Duration(l.WorkMS) * time.Millisecond
	}
	return time.Duration(l.PartMS) * time.Millisecond * time.Duration(1+len(l.Helpers))
}

// listing is when an upstream was listed first, and when it was unlisted for good.
type listing struct {
	service     string
	from, until time.Time // until is zero if it is still listed
}

// engineTime collects what logs tell of the engines' time.
type engineTime struct {
	long         time.Duration
	engines      map[string]int
	placements   []placement
	ended        map[string]placement // by request
	listings     map[string]*listing  // by upstream
	listingLines []placement
}

func newEngineTime(os []Option) *engineTime {
	t := &engineTime{long: DefaultLong, ended: map[string]placement{}, listings: map[string]*listing{}}
	for _, o := range os {
		o(t)
	}
	return t
}

// add adds the object of a line, and returns false if it can't be read.
func (t *engineTime) add(object, message string) (ok bool) {
	switch message {
	case sentMessage, notSentMessage, listedMessage, unlistedMessage, endMessage:
	default:
		return true
	}
	var l placement
	if json.Unmarshal([]byte(object), &l) != nil {
		return false
	}
	switch message {
	case endMessage:
		t.ended[l.Request] = l
	case listedMessage, unlistedMessage:
		t.listingLines = append(t.listingLines, l)
	default:
		t.placements = append(t.placements, l)
	}
	return true
}

// seconds returns the engines' time by second and service, without seconds in which nothing was
// sent or refused.
func (t *engineTime) seconds() (ss []EngineSecond) {
	byTime := func(a, b placement) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.placements, byTime)
	slices.SortStableFunc(t.listingLines, byTime)
	t.list()
	refused := map[string]bool{} // by fingerprint
	found := map[EngineSecond]*EngineSecond{}
	for _, l := range t.placements {
		if l.work() == 0 {
			continue
		}
		l.Service = cmp.Or(l.Service, t.ended[l.Request].Service)
		l.Fingerprint = cmp.Or(l.Fingerprint, t.ended[l.Request].Fingerprint)
		l.Again = l.Again || refused[l.Fingerprint]
		k := EngineSecond{Service: l.Service, At: l.Time.Truncate(time.Second)}
		if found[k] == nil {
			found[k] = &EngineSecond{Service: k.Service, At: k.At, Engines: t.count(k.Service, k.At)}
		}
		found[k].add(l, t.long)
		if l.Message == notSentMessage && l.Fingerprint != "" {
			refused[l.Fingerprint] = true
		}
	}
	for _, s := range found {
		ss = append(ss, *s)
	}
	slices.SortFunc(ss, func(a, b EngineSecond) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.At.Compare(b.At))
	})
	return ss
}

// add adds a call that was sent or refused.
func (s *EngineSecond) add(l placement, long time.Duration) {
	work := l.work().Seconds()
	sent := l.Message == sentMessage
	if sent {
		s.Used += work
	}
	if l.work() < long {
		return
	}
	if sent {
		s.Sent += work
	} else {
		s.Refused += work
	}
	if l.Again {
		s.Again += work
	}
}

// list makes the listings from their lines. All gateways log them: an upstream is listed from the
// first line on, and unlisted if its last line says so.
func (t *engineTime) list() {
	for _, l := range t.listingLines {
		x := t.listings[l.Upstream]
		if x == nil {
			x = &listing{service: l.Service, from: l.Time}
			t.listings[l.Upstream] = x
		}
		x.until = time.Time{}
		if l.Message == unlistedMessage {
			x.until = l.Time
		}
	}
}

// count returns how many engines a service has in a second.
func (t *engineTime) count(service string, at time.Time) (n int) {
	if n, ok := t.engines[service]; ok {
		return n
	}
	for _, x := range t.listings {
		if x.service == service && x.from.Before(at.Add(time.Second)) && (x.until.IsZero() || x.until.After(at)) {
			n++
		}
	}
	return n
}

// WriteEngineTime writes a table of the engines' time by second.
func (p Report) WriteEngineTime(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "second\tservice\tengines\tused\tlong sent\tlong refused\tlong came back")
	for _, s := range p.EngineTime {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", s.At.Format(time.TimeOnly), cmp.Or(s.Service, "-"), s.Engines,
			s.share(s.Used), s.share(s.Sent), s.share(s.Refused), s.share(s.Again))
	}
	return t.Flush()
}

// share returns engine seconds as a share of all engines' time, or as they are if the number of
// engines isn't known.
func (s EngineSecond) share(seconds float64) string {
	if s.Engines == 0 {
		return fmt.Sprintf("%.2f s", seconds)
	}
	return fmt.Sprintf("%.2f", seconds/float64(s.Engines))
}
