package fleettest

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/internal/standin"
)

// publishEvent publishes an event that needs another model.
func publishEvent(t *testing.T, f *Fleet, in time.Duration) config.Event {
	t.Helper()
	e := config.Event{
		Name: "final", Starts: time.Now().Add(in), Ends: time.Now().Add(in + time.Hour),
		Models: []string{"other"}, Prepares: config.Duration(30 * time.Second),
	}
	_, err := config.Publish(context.Background(), f.Log, config.EventKind, e.Name, e, config.CurrentRevision)
	require.NoError(t, err)
	return e
}

// requireModelLoaded checks whether all live engines have, or don't have, the event's model.
func requireModelLoaded(t *testing.T, f *Fleet, want bool) {
	t.Helper()
	for _, a := range f.Agents {
		if a.Engine == nil || a.killed {
			continue
		}
		l, err := a.Engine.Load(context.Background())
		require.NoError(t, err)
		require.Equal(t, want, slices.Contains(l.Models, "other"), a.Name)
	}
}

func TestEventStart(t *testing.T) {
	t.Run("models are in place before the start, at the store's rate", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			e := publishEvent(t, f, 60*time.Second)
			time.Sleep(25 * time.Second)
			requireModelLoaded(t, f, false)
			time.Sleep(time.Until(e.Starts))
			requireModelLoaded(t, f, true)
			require.Len(t, f.Weights.Fetches(), f.Config.Engines, "each engine fetched the model once")
		})
	})
	t.Run("an outage of the store before the start", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			e := publishEvent(t, f, 60*time.Second)
			f.Weights.SetOutage(true)
			time.Sleep(45 * time.Second)
			requireModelLoaded(t, f, false)
			f.Weights.SetOutage(false)
			time.Sleep(time.Until(e.Starts))
			requireModelLoaded(t, f, true)
		})
	})
	t.Run("an event that is moved forward", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			publishEvent(t, f, time.Hour)
			e := publishEvent(t, f, 35*time.Second)
			time.Sleep(time.Until(e.Starts))
			requireModelLoaded(t, f, true)
		})
	})
	t.Run("a dead box does not hold up the others", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			e := publishEvent(t, f, 60*time.Second)
			f.KillAgent(0)
			time.Sleep(time.Until(e.Starts))
			requireModelLoaded(t, f, true)
		})
	})
	t.Run("an order with a stale fence is refused", func(t *testing.T) {
		inBubble(t, Small(), func(t *testing.T, f *Fleet) {
			e := f.Agents[0].Engine
			ctx := context.Background()
			require.NoError(t, e.Order(ctx, hollowgrade.Order{Fence: 5, Action: hollowgrade.LoadModel, Model: "x"}))
			require.ErrorIs(t, e.Order(ctx, hollowgrade.Order{Fence: 4, Action: hollowgrade.UnloadModel, Model: "x"}), standin.ErrStaleFence)
		})
	})
}
