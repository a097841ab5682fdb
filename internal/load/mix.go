// Package load sends an open-loop load to running entries, that is on schedule however slow the
// answers are, and accounts for every request.
package load

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// Mix describes a load. It is read from TOML.
type Mix struct {
	Organisations []Organisation `toml:"organisation"`
	Kinds         []Kind         `toml:"kind"`
	Event         string         `toml:"event"` // sent with each request, if set
}

// Organisation is a caller's organisation, with its share of the requests.
type Organisation struct {
	Name   string  `toml:"name"`
	Key    string  `toml:"key"` // bearer key
	Weight float64 `toml:"weight"`
}

// Kind is one kind of request in a mix.
type Kind struct {
	Name      string          `toml:"name"`
	Weight    float64         `toml:"weight"`
	Model     string          `toml:"model"`   // either this or Service is set
	Service   string          `toml:"service"` // either this or Model is set
	Method    string          `toml:"method"`  // HTTP method of a call to a service
	Prompt    []int           `toml:"prompt"`  // lengths in tokens, one of which is drawn
	MaxTokens int             `toml:"max_tokens"`
	Allowed   config.Duration `toml:"allowed"`
	Keyed     bool            `toml:"keyed"`  // sent with an idempotency key
	Shared    float64         `toml:"shared"` // fraction of the prompt that all requests of an organisation and this kind have in common
}

// ReadMix reads a mix from a file.
func ReadMix(path string) (m Mix, err error) {
	defer errs.Annotate(&err, "read mix %s", path)
	b, err := os.ReadFile(path)
	if err != nil {
		return m, err
	}
	return ParseMix(string(b))
}

// ParseMix reads a mix from TOML.
func ParseMix(text string) (m Mix, err error) {
	if err = toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&m); err != nil {
		return m, err
	}
	return m, m.check()
}

func (m Mix) check() error {
	if len(m.Organisations) == 0 || len(m.Kinds) == 0 {
		return fmt.Errorf("a mix needs one organisation and one kind at least")
	}
	for _, k := range m.Kinds {
		if (k.Model == "") == (k.Service == "") {
			return fmt.Errorf("kind %q needs either a model or a service", k.Name)
		}
		if k.Model != "" && len(k.Prompt) == 0 {
			return fmt.Errorf("kind %q needs prompt lengths", k.Name)
		}
	}
	return nil
}

// Request is one planned request.
type Request struct {
	Index        int
	At           time.Duration // after the start of the load
	Kind         Kind
	Organisation Organisation
	Prompt       int // tokens
	Key          string
	seed         uint64
}

// Plan is the schedule of a load. It is drawn completely before the load starts, so that a seed
// gives the same load whatever the fleet does.
type Plan struct {
	Requests []Request
	Event    string
}

// Surge is a period in which requests arrive at a higher rate.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Draw plans n requests over a duration. During the surge the rate is multiplied by its factor.
func (m Mix) Draw(n int, d time.Duration, s Surge, seed uint64) Plan {
	r := rand.New(rand.NewPCG(seed, seed))
	p := Plan{Event: m.Event}
	for range n {
		k := pick(r, m.Kinds, func(k Kind) float64 { return k.Weight })
		q := Request{
			At:           arrival(r, d, s),
			Kind:         k,
			Organisation: pick(r, m.Organisations, func(o Organisation) float64 { return o.Weight }),
			seed:         r.Uint64(),
		}
		if len(k.Prompt) > 0 {
			q.Prompt = k.Prompt[r.IntN(len(k.Prompt))]
		}
		if k.Keyed {
			q.Key = fmt.Sprintf("load-%016x%016x", r.Uint64(), r.Uint64())
		}
		p.Requests = append(p.Requests, q)
	}
	slices.SortStableFunc(p.Requests, func(a, b Request) int { return int(a.At - b.At) })
	for i := range p.Requests {
		p.Requests[i].Index = i
	}
	return p
}

func pick[T any](r *rand.Rand, ts []T, weight func(T) float64) T {
	total := 0.0
	for _, t := range ts {
		total += weight(t)
	}
	x := r.Float64() * total
	for _, t := range ts {
		if x -= weight(t); x < 0 {
			return t
		}
	}
	return ts[len(ts)-1]
}

// arrival draws an arrival time from a density that is 1 outside the surge and its factor inside.
func arrival(r *rand.Rand, d time.Duration, s Surge) time.Duration {
	extra := max(s.Factor-1, 0) * float64(s.To-s.From)
	x := r.Float64() * (float64(d) + extra)
	switch {
	case x < float64(s.From):
		return time.Duration(x)
	case x < float64(s.From)+s.Factor*float64(s.To-s.From):
		return s.From + time.Duration((x-float64(s.From))/s.Factor)
	default:
		return time.Duration(x - extra)
	}
}

const bytesPerToken = 4

// PromptText returns the prompt of a planned request. All requests of an organisation and a kind
// share its beginning.
func (q Request) PromptText() string {
	b := make([]byte, 0, q.Prompt*bytesPerToken)
	common := int(float64(q.Prompt)*q.Kind.Shared) * bytesPerToken
	b = fill(b, common, hash(q.Organisation.Name+"/"+q.Kind.Name))
	return string(fill(b, q.Prompt*bytesPerToken, q.seed))
}

func hash(s string) (h uint64) {
	for _, c := range []byte(s) {
		h = h*1099511628211 + uint64(c)
	}
	return h
}

// fill appends pseudo-random words until b has the length in bytes.
func fill(b []byte, length int, seed uint64) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz     "
	x := seed | 1
	for len(b) < length {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		b = append(b, letters[x%uint64(len(letters))])
	}
	return b
}
