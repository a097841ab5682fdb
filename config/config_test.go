package config

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/examples"
	"github.com/hollowgrade/hollowgrade/fold"
	"github.com/hollowgrade/hollowgrade/internal/standin"
	"github.com/hollowgrade/hollowgrade/policy"
)

func publish(t *testing.T, l hollowgrade.Log, kind, name string, body any) {
	t.Helper()
	_, err := Publish(context.Background(), l, kind, name, body, CurrentRevision)
	require.NoError(t, err)
}

func loadAndCompile(t *testing.T, l hollowgrade.Log, former *Config) (*Config, []error) {
	t.Helper()
	s, err := fold.Load(context.Background(), l)
	require.NoError(t, err)
	return Compile(s, former)
}

func TestCompile(t *testing.T) {
	l := standin.NewLog(0, hollowgrade.SystemClock())
	publish(t, l, OrganisationKind, "a", Organisation{Name: "a", Keys: []string{KeyDigest("secret")}})
	publish(t, l, PolicyKind, DefaultPolicy, Policy{Name: DefaultPolicy, Text: examples.Policy("korrigan")})
	c, es := loadAndCompile(t, l, nil)
	require.Empty(t, es)

	t.Run("a key leads to its organisation", func(t *testing.T) {
		o, ok := c.Authenticate("secret")
		require.True(t, ok)
		require.Equal(t, "a", o.Name)
	})
	t.Run("another key leads nowhere", func(t *testing.T) {
		_, ok := c.Authenticate("guess")
		require.False(t, ok)
	})
	t.Run("a policy that does not compile is not published", func(t *testing.T) {
		_, err := Publish(context.Background(), l, PolicyKind, DefaultPolicy, Policy{Text: "nonsense ="}, CurrentRevision)
		require.Error(t, err)
	})
	t.Run("a box that cannot compile a policy keeps the former", func(t *testing.T) {
		s, err := fold.Load(context.Background(), l)
		require.NoError(t, err)
		i, _ := s.Item(PolicyKind, DefaultPolicy)
		r, err := fold.NewChange(PolicyKind, DefaultPolicy, i.Revision, Policy{Text: "from a newer release"}, "n", "t")
		require.NoError(t, err)
		_, err = fold.Publish(context.Background(), l, s, r)
		require.NoError(t, err)
		n, es := loadAndCompile(t, l, c)
		require.Len(t, es, 1)
		require.Equal(t, c.Policies[DefaultPolicy], n.Policies[DefaultPolicy])
	})
}

func TestPhase(t *testing.T) {
	at := time.Date(2026, 12, 5, 19, 0, 0, 0, time.UTC)
	e := Event{Starts: at, Ends: at.Add(time.Hour)}
	require.Equal(t, policy.Before, e.Phase(at.Add(-time.Second)))
	require.Equal(t, policy.During, e.Phase(at))
	require.Equal(t, policy.After, e.Phase(at.Add(time.Hour)))
}

// stateWithOrganisations returns a state with n organisations.
func stateWithOrganisations(b *testing.B, n int) fold.State {
	b.Helper()
	s := fold.Snapshot{Next: int64(n)}
	for i := range n {
		c, err := fold.NewChange(OrganisationKind, fmt.Sprint("o", i), 0,
			Organisation{Name: fmt.Sprint("o", i), Keys: []string{KeyDigest(fmt.Sprint(i))}}, "n", "a")
		require.NoError(b, err)
		s.Items = append(s.Items, fold.Item{Kind: c.Kind, Name: c.Name, Revision: int64(i + 1), Body: c.Body})
	}
	s, err := s.WithDigest()
	require.NoError(b, err)
	e, err := s.Encode()
	require.NoError(b, err)
	r, err := fold.New().Restore(e)
	require.NoError(b, err)
	return r
}

// BenchmarkChange measures one change of the configuration at a box, by the number of
// organisations: applying the record and compiling the whole configuration again.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1000, 4000, 8000, 13000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateWithOrganisations(b, n)
			c, err := fold.NewChange(OrganisationKind, "o0", 1, Organisation{Name: "o0"}, "n", "a")
			require.NoError(b, err)
			e, err := c.Encode()
			require.NoError(b, err)
			var former *Config
			for b.Loop() {
				t, err := s.Apply(hollowgrade.Record{Offset: s.Next(), Body: e})
				require.NoError(b, err)
				former, _ = Compile(t, former)
			}
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc), "heap-B")
			b.ReportMetric(float64(len(e)), "record-B")
			runtime.KeepAlive(former)
		})
	}
}

// putRaw publishes an item whose body no release of ours writes.
func putRaw(t *testing.T, l hollowgrade.Log, kind, name, body string) {
	t.Helper()
	s, err := fold.Load(t.Context(), l)
	require.NoError(t, err)
	i, _ := s.Item(kind, name)
	c, err := fold.NewChange(kind, name, i.Revision, json.RawMessage(body), uuid.NewString(), "another writer")
	require.NoError(t, err)
	_, err = fold.Publish(t.Context(), l, s, c)
	require.NoError(t, err)
}

// Guards against what a record that cannot be decoded leaves behind: keys that lead to an organisation
// without limits, an event without a period, a key range of the wrong keeper.
func TestRecordThatCannotBeDecodedLeavesNothingBehind(t *testing.T) {
	compile := func(t *testing.T, kind, name, body string) *Config {
		t.Helper()
		l := standin.NewLog(0, hollowgrade.SystemClock())
		putRaw(t, l, kind, name, body)
		publish(t, l, OrganisationKind, "other", Organisation{Name: "other", Keys: []string{KeyDigest("other")}})
		c, es := loadAndCompile(t, l, nil)
		require.Len(t, es, 1)
		require.ErrorContains(t, es[0], kind+" "+name)
		o, ok := c.Authenticate("other")
		require.True(t, ok)
		require.Equal(t, "other", o.Name)
		return c
	}
	keys := `"keys":["` + KeyDigest("secret") + `"]`
	for name, body := range map[string]string{
		"a limit of another type":  `{"name":"o",` + keys + `,"max_requests":"5"}`,
		"a limit too large":        `{"name":"o",` + keys + `,"max_tokens":1e400}`,
		"a policy that is a list":  `{"name":"o",` + keys + `,"policy":[]}`,
		"keys of which one is odd": `{"name":"o","keys":["` + KeyDigest("secret") + `",5]}`,
		"the name of another one":  `{"name":"other",` + keys + `}`,
		"no name":                  `{` + keys + `}`,
	} {
		t.Run("organisation with "+name, func(t *testing.T) {
			c := compile(t, OrganisationKind, "o", body)
			_, ok := c.Authenticate("secret")
			require.False(t, ok)
			require.Len(t, c.Organisations, 1)
		})
	}
	t.Run("event with models of another type", func(t *testing.T) {
		c := compile(t, EventKind, "e", `{"name":"e","starts":"2026-01-02T03:04:05Z","models":5}`)
		require.Empty(t, c.Events)
	})
	for name, body := range map[string]string{
		"an incarnation of another type": `{"owner":"a","incarnation":5,"first":true}`,
		"an epoch too large":             `{"owner":"a","incarnation":"i","former":1e400}`,
		"no fields":                      `5`,
	} {
		t.Run("key range with "+name+" has no keeper and was not free", func(t *testing.T) {
			c := compile(t, KeyRangeKind, "0", body)
			require.Equal(t, map[string]Range{"0": {Epoch: 1}}, c.KeyRanges)
		})
	}
}
