package fleettest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/fault"
)

// requireInForce checks that the revision is in force on every live box.
func requireInForce(t *testing.T, f *Fleet, revision int64) {
	t.Helper()
	for n, r := range f.revisions() {
		require.Equal(t, revision, r, n)
	}
}

// Guards against boxes that depend on the log while serving: it is unavailable for much longer than
// any lease, and processes are replaced meanwhile.
func TestLogOutage(t *testing.T) {
	inBubble(t, Small(), func(t *testing.T, f *Fleet) {
		ctx := context.Background()
		before := f.Entries[0].Revision()
		f.Log.SetOutage(true)
		time.Sleep(10 * time.Minute)
		f.KillAgent(0)
		f.ReplaceAgent(0)
		f.KillEntry(0)
		f.StartEntry("entry-2")
		time.Sleep(10 * time.Second)

		requireInForce(t, f, before)
		requireWhole(t, f.Do(ctx, Call{Entry: 2, Organisation: "a", Prompt: "hello", Tokens: 8}))

		// Keys chosen by callers are refused with an unknown outcome, since their owner can't be reached;
		// minted keys are served.
		own := f.Do(ctx, Call{Entry: 2, Organisation: "a", Kind: "once", Prompt: "own", Service: true, Key: "own"})
		require.Equal(t, string(fault.KeyOwnerAway), own.Code)
		require.Equal(t, hollowgrade.Unknown, own.Outcome)
		requireWhole(t, f.Do(ctx, Call{Entry: 2, Organisation: "a", Kind: "once", Prompt: "minted", Service: true, Key: f.Mint(2, "a")}))

		f.Log.SetOutage(false)
		time.Sleep(10 * time.Second) // other agents take over the key ranges of the crashed one
		o := config.Organisation{Name: "c", Keys: []string{config.KeyDigest("c")}}
		r, err := config.Publish(ctx, f.Log, config.OrganisationKind, "c", o, config.CurrentRevision)
		require.NoError(t, err)
		time.Sleep(maxRevisionDelay)
		for n, v := range f.revisions() {
			require.GreaterOrEqual(t, v, r, n)
		}
	})
}
