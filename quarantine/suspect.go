package quarantine

import (
	"errors"
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/internal/errs"
)

// Kind is the kind of a suspect.
type Kind int

// The kinds of suspects.
const (
	KindRequest Kind = iota // a whole request
	KindPart                // a part of prompts
)

// String implements [fmt.Stringer].
func (k Kind) String() string {
	if k == KindPart {
		return "part"
	}
	return "request"
}

// Suspect identifies what may crash upstreams.
type Suspect struct {
	Kind        Kind
	Fingerprint hollowgrade.Fingerprint // of the request, or the id of the part
	Service     string                  // whose upstreams a part may crash; empty for a request
}

// Subject is a suspect with what operators need beside it.
type Subject struct {
	Kind         Kind
	Fingerprint  hollowgrade.Fingerprint
	Organisation string // of a request with the part
	Route        string // the same
	Service      string
}

// Suspect returns the suspect alone.
func (s Subject) Suspect() Suspect {
	if s.Kind == KindRequest {
		return Suspect{Fingerprint: s.Fingerprint}
	}
	return Suspect{s.Kind, s.Fingerprint, s.Service}
}

// Request is a request with the parts of its prompt that others may share.
type Request struct {
	Subject
	Parts []hollowgrade.PartID
}

// part returns the subject of a part of the prompt.
func (q Request) part(p hollowgrade.PartID) Subject {
	s := q.Subject
	s.Kind, s.Fingerprint = KindPart, hollowgrade.Fingerprint(p)
	return s
}

// hasAll reports whether the prompt has all of the parts.
func (q Request) hasAll(ps []hollowgrade.PartID) bool {
	return !slices.ContainsFunc(ps, func(p hollowgrade.PartID) bool { return !slices.Contains(q.Parts, p) })
}

// suspects returns the request and the parts of its prompt.
func (q Request) suspects() iter.Seq[Suspect] {
	return func(yield func(Suspect) bool) {
		if !yield(q.Suspect()) {
			return
		}
		for _, p := range q.Parts {
			if !yield(q.part(p).Suspect()) {
				return
			}
		}
	}
}

// The text form of a part is its id and its service.
const (
	partPrefix    = "part:"
	partSeparator = "@"
)

// String returns the fingerprint of a request, and part:ID@SERVICE for a part.
func (s Suspect) String() string {
	if s.Kind == KindRequest {
		return s.Fingerprint.String()
	}
	return partPrefix + hollowgrade.PartID(s.Fingerprint).String() + partSeparator + s.Service
}

// errUnknownSuspect is returned for text that names neither a request nor a part.
var errUnknownSuspect = errors.New("it must be a fingerprint, or part:ID@SERVICE")

// ParseSuspect parses the result of [Suspect.String].
func ParseSuspect(text string) (s Suspect, err error) {
	defer errs.Annotate(&err, "parse the suspect %q", fmt.Sprintf("%.64s", text))
	part, isPart := strings.CutPrefix(text, partPrefix)
	if !isPart {
		s.Fingerprint, err = hollowgrade.ParseFingerprint(text)
		return s, err
	}
	id, service, ok := strings.Cut(part, partSeparator)
	if !ok || service == "" {
		return s, errUnknownSuspect
	}
	p, err := hollowgrade.ParsePartID(id)
	return Suspect{KindPart, hollowgrade.Fingerprint(p), service}, err
}
