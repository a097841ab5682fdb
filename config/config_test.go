package config

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

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
