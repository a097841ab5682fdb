package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/examples"
	"github.com/hollowgrade/hollowgrade/fault"
)

const completeAnswer = `{class: "normal", priority: 0, allowed: duration("30s"), may_wait: true, repeatable: true, share: 1.0}`

func requireCompileError(t *testing.T, text, where string) {
	t.Helper()
	_, err := Compile("p", text)
	require.ErrorContains(t, err, where)
	require.Equal(t, fault.BadPolicy, fault.As(err, hollowgrade.Unknown).Code)
}

func TestCompile(t *testing.T) {
	t.Run("the examples compile", func(t *testing.T) {
		for _, n := range []string{"sao-bien", "korrigan"} {
			_, err := Compile(n, examples.Policy(n))
			require.NoError(t, err)
		}
	})
	t.Run("an unknown field is refused with its place", func(t *testing.T) {
		requireCompileError(t, "kinds == \"x\" ? "+completeAnswer+" : "+completeAnswer, "p:1:1: unknown name kinds")
	})
	t.Run("a wrong type is refused with its place", func(t *testing.T) {
		requireCompileError(t, `{class: 7, priority: 0, allowed: duration("30s"), may_wait: true, repeatable: true, share: 1.0}`, "p:1:9: class must be a string")
	})
	t.Run("a missing part is refused", func(t *testing.T) {
		requireCompileError(t, `{class: "normal"}`, `the answer lacks`)
	})
	t.Run("an unknown part is refused", func(t *testing.T) {
		requireCompileError(t, `{klass: "normal"}`, `the answer has no part "klass"`)
	})
	t.Run("a branch without an answer is refused", func(t *testing.T) {
		requireCompileError(t, `kind == "x" ? `+completeAnswer+` : 3`, "must end in an answer")
	})
	t.Run("a loop is refused", func(t *testing.T) {
		requireCompileError(t, `max(1..1000000) > 3 ? `+completeAnswer+` : `+completeAnswer, "ranges are not allowed")
	})
	t.Run("a value out of range is refused by the samples", func(t *testing.T) {
		requireCompileError(t, `{class: "normal", priority: 0, allowed: duration("30s"), may_wait: true, repeatable: true, share: 2.0}`, "share is 2")
	})
}

func TestDecide(t *testing.T) {
	p, err := Compile("korrigan", examples.Policy("korrigan"))
	require.NoError(t, err)
	d, err := p.Decide(Input{Kind: "reel", Model: "m", Phase: During})
	require.NoError(t, err)
	require.Equal(t, hollowgrade.Decision{Class: hollowgrade.Background, Allowed: 15 * time.Minute, MayWait: true, Share: 0.5}, d)
}

func FuzzCompile(f *testing.F) {
	f.Add(completeAnswer)
	f.Add(examples.Policy("korrigan"))
	f.Add(`kind matches "(a+)+" ? 1 : 2`)
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Compile("p", text)
		if err != nil {
			return
		}
		for _, s := range Samples() {
			_, err = p.Decide(s.Input)
			require.NoError(t, err)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	p, err := Compile("korrigan", examples.Policy("korrigan"))
	require.NoError(b, err)
	in := Samples()[0].Input
	b.ReportAllocs()
	for b.Loop() {
		_, _ = p.Decide(in)
	}
}
