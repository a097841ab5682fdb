package fleettest

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// inBubble runs a test on a prepared fleet in virtual time.
func inBubble(t *testing.T, c Config, test func(t *testing.T, f *Fleet)) {
	t.Helper()
	// yamux keeps timers in a sync.Pool, and a timer must not leave its bubble. Two collections empty
	// the pool.
	defer runtime.GC()
	defer runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		f := New(c)
		defer f.Stop()
		require.NoError(t, f.Prepare("a", "b"))
		test(t, f)
	})
}

func requireWhole(t *testing.T, a Answer) {
	t.Helper()
	require.Equal(t, hollowgrade.Finished, a.Outcome, "code %s %s after %s", a.Code, a.Message, a.Took())
	if a.Call.Service {
		require.Equal(t, a.Call.Prompt, a.Text)
		return
	}
	require.Equal(t, a.Call.ExpectedText(), a.Text)
}

func TestFleet(t *testing.T) {
	t.Run("a model's request is answered whole", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			requireWhole(t, f.Do(context.Background(), Call{Organisation: "a", Prompt: "hello", Tokens: 20}))
		})
	})
	t.Run("a service's request is passed through", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			requireWhole(t, f.Do(context.Background(), Call{Organisation: "a", Prompt: "body", Service: true}))
		})
	})
	t.Run("a key that comes again gets the same answer and runs nothing", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			c := Call{Organisation: "a", Kind: "once", Prompt: "receipt", Service: true, Key: "k1"}
			requireWhole(t, f.Do(context.Background(), c))
			time.Sleep(time.Second)
			c.Entry = 1
			a := f.Do(context.Background(), c)
			requireWhole(t, a)
			require.True(t, a.Replayed)
		})
	})
	t.Run("a prompt over one engine's memory runs on a group", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			requireWhole(t, f.Do(context.Background(), Call{Organisation: "a", Kind: "long", Prompt: strings.Repeat("long text. ", 14_000), Tokens: 20}))
		})
	})
}
