package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hollowgrade/hollowgrade/engine"
)

// Repeat says whether the calls of a route may run more than once.
type Repeat int

// The values of [Repeat].
const (
	Once   Repeat = iota // at most one run
	Again                // more than one run is harmless
	Resume               // a stream that another upstream can continue after the last event
)

// String returns the name used in logs.
func (r Repeat) String() string {
	switch r {
	case Again:
		return "again"
	case Resume:
		return "resume"
	default:
		return "once"
	}
}

// Route configures the calls to one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeat      Repeat
	Stream      bool
	Public      bool          // needs no key
	Timeout     time.Duration // longest time that a call may take
	Goal        time.Duration // time to the first part within which an answer is of full use
	PauseGoal   time.Duration // longest pause between events that counts as in time
	Priority    int           // 0 is the highest
	Targets     []Target
	MaxAttempts int // number of upstreams that one call may be sent to
}

// Target is a service that gets a share of a route's calls.
type Target struct {
	Service string
	Weight  int
}

// Service is a pool of upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int             // to one upstream, for all callers together
	Engine         *engine.Figures // nil for a plain service
	Cold           ColdRule
}

// Limits bound what callers may send. A zero value means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation owns API keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // whether Priority overrides that of the route
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version      int64
	Limits       Limits
	Services     map[string]Service
	routes       map[string][]Route // by host, longest prefix first
	keys         map[string]Organisation
	keysRequired bool // whether any organisation is configured, so that routes need keys
}

// NewCatalog returns a catalog.
func NewCatalog(version int64, rs []Route, ss []Service, os []Organisation, l Limits) *Catalog {
	c := &Catalog{
		Version:      version,
		Limits:       l,
		Services:     make(map[string]Service, len(ss)),
		routes:       map[string][]Route{},
		keys:         map[string]Organisation{},
		keysRequired: len(os) > 0,
	}
	for _, r := range rs {
		h := strings.ToLower(r.Host)
		c.routes[h] = append(c.routes[h], r)
	}
	for _, l := range c.routes {
		slices.SortStableFunc(l, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range ss {
		c.Services[s.Name] = s
	}
	for _, o := range os {
		for _, k := range o.Keys {
			c.keys[k] = o
		}
	}
	return c
}

// Match returns the route of the host that has the longest matching prefix of the path.
func (c *Catalog) Match(host, path string) (r Route, ok bool) {
	if h, _, found := strings.Cut(host, ":"); found {
		host = h
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Owner returns the organisation that a key belongs to.
func (c *Catalog) Owner(key string) (o Organisation, ok bool) {
	o, ok = c.keys[key]
	return o, ok
}

// coldRules returns the rules for cold upstreams, by service.
func (c *Catalog) coldRules() map[string]ColdRule {
	rs := make(map[string]ColdRule, len(c.Services))
	for n, s := range c.Services {
		rs[n] = s.Cold
	}
	return rs
}

// NeedsKey reports whether calls on the route need a key.
func (c *Catalog) NeedsKey(r Route) bool {
	return c.keysRequired && !r.Public
}
