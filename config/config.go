// Package config defines the types of the items of the published configuration and compiles the
// state of a fold into the form that entries and agents use.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/policy"
)

// The kinds of items.
const (
	OrganisationKind = "organisation"
	ModelKind        = "model"
	ServiceKind      = "service"
	EventKind        = "event"
	PolicyKind       = "policy"
	ObjectiveKind    = "objective"
	KeyRangeKind     = "key_range"
)

// DefaultPolicy is the name of the policy of organisations that name none.
const DefaultPolicy = "default"

// Duration is a duration that is written as in "1m30s".
type Duration time.Duration

// Std returns d as a [time.Duration].
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText implements [encoding.TextMarshaler].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements [encoding.TextUnmarshaler].
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration such as 30s or 1m30s", b)
	}
	*d = Duration(v)
	return nil
}

// Organisation is a customer whose requests share the fleet with others.
type Organisation struct {
	Name        string   `json:"name" toml:"-"`
	Keys        []string `json:"keys" toml:"keys"` // hex SHA-256 digests of its bearer keys
	Policy      string   `json:"policy,omitempty" toml:"policy"`
	MaxRequests int      `json:"max_requests,omitempty" toml:"max_requests"` // in flight at one entry, 0 for no limit
	MaxTokens   int      `json:"max_tokens,omitempty" toml:"max_tokens"`     // in flight at one entry, 0 for no limit
}

// Model is a model that callers may name.
type Model struct {
	Name     string `json:"name" toml:"-"`
	MaxGroup int    `json:"max_group,omitempty" toml:"max_group"` // maximum engines that a prompt is split between; 0 for 1
}

// Service is a plain service that callers may call.
type Service struct {
	Name        string `json:"name" toml:"-"`
	ChecksFence bool   `json:"checks_fence,omitempty" toml:"checks_fence"` // whether it refuses a stale epoch
}

// Event is a period with a fixed start for which the fleet is prepared.
type Event struct {
	Name     string    `json:"name" toml:"-"`
	Starts   time.Time `json:"starts" toml:"starts"`
	Ends     time.Time `json:"ends" toml:"ends"`
	Models   []string  `json:"models,omitempty" toml:"models"`
	Prepares Duration  `json:"prepares,omitempty" toml:"prepares"` // how long before the start the loading of models begins
	Revision int64     `json:"-" toml:"-"`                         // of its item; the fencing token of commands to engines
}

// Phase returns whether now is before, during or after the event.
func (e Event) Phase(now time.Time) policy.Phase {
	switch {
	case now.Before(e.Starts):
		return policy.Before
	case now.Before(e.Ends):
		return policy.During
	default:
		return policy.After
	}
}

// Objective is a service level objective that the report measures against.
type Objective struct {
	Name       string   `json:"name" toml:"-"`
	Kind       string   `json:"kind" toml:"kind"`               // kind of request; empty for all
	MaxPrompt  int      `json:"max_prompt" toml:"max_prompt"`   // longest prompt that it applies to, in tokens; 0 for all
	FirstToken Duration `json:"first_token" toml:"first_token"` // maximum time to the first token; 0 for none
	Share      float64  `json:"share" toml:"share"`             // share of the requests that must meet it
}

// Policy is a published policy.
type Policy struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// KeyRange names the agent that keeps the ledger of one range of idempotency keys.
type KeyRange struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	First       bool   `json:"first,omitempty"`  // the range had no owner before
	Former      int64  `json:"former,omitempty"` // epoch of the previous owner that has sent its ledger; 0 if none has
}

// Config is the configuration at one revision. It is immutable.
type Config struct {
	Revision      int64
	Organisations map[string]Organisation
	Models        map[string]Model
	Services      map[string]Service
	Events        map[string]Event
	Objectives    map[string]Objective
	Policies      map[string]*policy.Program
	KeyRanges     map[string]Range
	byKey         map[string]string // name of the organisation by digest of a bearer key
}

// Range is a [KeyRange] with the revision of its item, which is the epoch that fences its owner.
type Range struct {
	KeyRange
	Epoch int64
}

// Compile makes a configuration from a state. Items that can't be used are returned as errors. For a
// policy that doesn't compile, its version in previous stays in force, so that a box with an older
// release continues with that one.
func Compile(s fold.State, previous *Config) (c *Config, errs []error) {
	c = newConfig(s.Revision())
	for _, i := range s.Items("") {
		if err := c.add(i, previous); err != nil {
			errs = append(errs, fmt.Errorf("%s %s at revision %d: %w", i.Kind, i.Name, i.Revision, err))
		}
	}
	return c, errs
}

func newConfig(revision int64) *Config {
	return &Config{
		Revision:      revision,
		Organisations: map[string]Organisation{},
		Models:        map[string]Model{},
		Services:      map[string]Service{},
		Events:        map[string]Event{},
		Objectives:    map[string]Objective{},
		Policies:      map[string]*policy.Program{},
		KeyRanges:     map[string]Range{},
		byKey:         map[string]string{},
	}
}

// add adds an item. One that is not used leaves nothing behind, but for a key range: without an entry it would
// count as one that never had a keeper, whose next one need not wait for the lease of the last.
func (c *Config) add(i fold.Item, previous *Config) (err error) {
	switch i.Kind {
	case OrganisationKind:
		err = c.addOrganisation(i)
	case ModelKind:
		_, err = decode(i, c.Models)
	case ServiceKind:
		_, err = decode(i, c.Services)
	case EventKind:
		err = c.addEvent(i)
	case ObjectiveKind:
		_, err = decode(i, c.Objectives)
	case KeyRangeKind:
		err = c.addKeyRange(i)
	case PolicyKind:
		err = c.addPolicy(i, previous)
	}
	return err
}

func (c *Config) addOrganisation(i fold.Item) error {
	var o Organisation
	if err := json.Unmarshal(i.Body, &o); err != nil {
		return err
	}
	if o.Name != i.Name {
		return fmt.Errorf("its record names %.64q", o.Name)
	}
	c.Organisations[i.Name] = o
	for _, k := range o.Keys {
		c.byKey[k] = i.Name
	}
	return nil
}

func (c *Config) addEvent(i fold.Item) error {
	e, err := decode(i, c.Events)
	if err != nil {
		return err
	}
	e.Revision = i.Revision
	c.Events[i.Name] = e
	return nil
}

func (c *Config) addKeyRange(i fold.Item) error {
	var r KeyRange
	err := json.Unmarshal(i.Body, &r)
	if err != nil {
		r = KeyRange{}
	}
	c.KeyRanges[i.Name] = Range{KeyRange: r, Epoch: i.Revision}
	return err
}

func decode[T any](i fold.Item, into map[string]T) (v T, err error) {
	if err = json.Unmarshal(i.Body, &v); err != nil {
		return v, err
	}
	into[i.Name] = v
	return v, nil
}

func (c *Config) addPolicy(i fold.Item, previous *Config) error {
	var v Policy
	if err := json.Unmarshal(i.Body, &v); err != nil {
		return err
	}
	if previous != nil {
		if p := previous.Policies[i.Name]; p != nil {
			c.Policies[i.Name] = p
			if p.Text() == v.Text {
				return nil
			}
		}
	}
	p, err := policy.Compile(i.Name, v.Text)
	if err != nil {
		return err
	}
	c.Policies[i.Name] = p
	return nil
}

// Authenticate returns the organisation to which a bearer key belongs.
func (c *Config) Authenticate(key string) (o Organisation, ok bool) {
	n, ok := c.byKey[KeyDigest(key)]
	if !ok {
		return o, false
	}
	return c.Organisations[n], true
}

// PolicyFor returns the policy of an organisation, or nil if neither its own nor the default one is
// published.
func (c *Config) PolicyFor(o Organisation) *policy.Program {
	if p := c.Policies[o.Policy]; p != nil {
		return p
	}
	return c.Policies[DefaultPolicy]
}

// KeyDigest returns the digest of a bearer key as it is written in the published configuration.
func KeyDigest(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
