package core

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

// serveOversizedPrompt serves a prompt of 900,000 tokens on engines with memory for 450,000.
func serveOversizedPrompt(t *testing.T, f *fakeUpstreams, engines int) *fault.Error {
	t.Helper()
	return servePrompt(t, f, engines, 900_000)
}

// servePrompt serves a prompt on engines with memory for 450,000 tokens.
func servePrompt(t *testing.T, f *fakeUpstreams, engines, tokens int) *fault.Error {
	t.Helper()
	c := New(f, f, WithLogger(discardLogger()))
	c.started = c.started.Add(-time.Minute)
	r := Route{Name: "r", Host: "h", Prefix: "/", Repeat: Resume, Stream: true, Timeout: 20 * time.Second, Goal: 3 * time.Second, PauseGoal: 800 * time.Millisecond, Targets: []Target{{"e", 1}}, MaxAttempts: 2}
	c.SetCatalog(NewCatalog(1, []Route{r}, []Service{{Name: "e", Engine: figures()}}, nil, Limits{}))
	for id := range newFleet("e", engines).members {
		c.Fleet().Put(hollowgrade.Upstream{ID: string(id), Service: "e", Address: string(id) + ":1"})
	}
	k := call("/x")
	k.PromptTokens, k.MaxTokens, k.Patience = tokens, 1_000, 15*time.Second
	err := c.Serve(context.Background(), k, &fakeSink{})
	if err == nil {
		return nil
	}
	return fault.As(err, hollowgrade.Unknown)
}

// slowStream replies with a stream after d; before that it calls check with the reserved tokens.
func slowStream(f *fakeUpstreams, d time.Duration, check func(reserved int)) reply {
	return func(ctx context.Context, _ hollowgrade.Sending) (hollowgrade.Exchange, error) {
		time.Sleep(d)
		check(f.reservedTokens())
		return &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 200, Header: http.Header{}, Signed: true, Stream: true}, end: io.EOF}, nil
	}
}

func TestPromptsOverOneEnginesMemory(t *testing.T) {
	t.Run("are kept at several, renewed while they run and freed after", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{}
			reserved := 0
			f.replies = []reply{slowStream(f, 5*time.Second, func(n int) { reserved = n })}
			require.Nil(t, serveOversizedPrompt(t, f, 18))
			require.InDelta(t, 4*180_000, reserved, 10, "the first engine keeps the rest")
			synctest.Wait()
			require.Zero(t, f.reservedTokens())
			s := f.sentCalls()[0]
			require.Len(t, s.Helpers, maxHelpers)
			for i, h := range s.Helpers {
				require.Equal(t, i < 4, h.ReservationID != "", "engines that keep parts come first")
			}
			require.Equal(t, 4*(1+4+1), f.memoryCalls)
		})
	})
	t.Run("are refused as not run when no memory is free", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{replies: []reply{broken}, full: map[string]bool{}}
			for id := range newFleet("e", 18).members {
				f.full[string(id)] = true
			}
			requireFault(t, serveOversizedPrompt(t, f, 18), fault.Overloaded, hollowgrade.NotRun)
			synctest.Wait()
			require.Empty(t, f.sentCalls())
			require.Zero(t, f.reservedTokens())
		})
	})
	t.Run("leave nothing behind when an engine is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeUpstreams{replies: []reply{broken}}
			require.NotNil(t, serveOversizedPrompt(t, f, 18))
			synctest.Wait()
			require.Zero(t, f.reservedTokens())
			require.Len(t, f.sentCalls(), 2)
			require.NotEqual(t, f.sentCalls()[0].Helpers[0].ReservationID, f.sentCalls()[1].Helpers[0].ReservationID)
		})
	})
}

func TestFewerEnginesThanAPromptNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeUpstreams{replies: []reply{broken}}
		requireFault(t, serveOversizedPrompt(t, f, 4), fault.NoUpstream, hollowgrade.NotRun)
		require.Empty(t, f.sentCalls())
	})
}

// Guards against an engine that drains unnoticed and is a helper of both attempts: the call was
// refused although all other engines were healthy.
func TestAHelperThatIsAtFaultIsLeftOut(t *testing.T) {
	for _, name := range []string{"id", "address"} {
		t.Run("named by "+name, func(t *testing.T) {
			bad := ""
			f := &fakeUpstreams{replies: []reply{
				func(ctx context.Context, s hollowgrade.Sending) (hollowgrade.Exchange, error) {
					bad = s.Helpers[0].Address
					x := &fakeExchange{ctx: ctx, head: hollowgrade.Head{Status: 503, NotRun: true, AtFault: bad}, end: io.EOF}
					if name == "id" {
						x.head.AtFault = strings.TrimSuffix(bad, ":1")
					}
					return x, nil
				},
				events(1, 1, io.EOF),
			}}
			require.Nil(t, servePrompt(t, f, 18, 300_000))
			require.Len(t, f.sentCalls(), 2)
			for _, h := range f.sentCalls()[1].Helpers {
				require.NotEqual(t, bad, h.Address)
			}
			require.NotEqual(t, bad, f.sentCalls()[1].Upstream.Address)
		})
	}
}
