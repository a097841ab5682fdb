package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// The story. A gateway that was stopped by plan closed the connection of a call without an answer. The call had come
// in the second in which a gateway that is stopping still takes callers, and its upstream never answered; its time
// would have been over 0.35 s after the gateway's own, and nobody told the call that it was given up.
//
// The evidence: seed 550 of the soak, "sent" 0.35 s after "draining", "stopped with requests open" 3.5 s after it, and then
// "connection closed without a whole answer" with caller_gone, HG3004, though the caller was there and read EOF.
func TestCallsThatAreOpenAtTheEndOfAStopAreAnswered(t *testing.T) {
	const drain = time.Second
	type answer struct {
		status int
		body   string
		err    error
		at     time.Time
	}
	// stopWith stops a gateway of which one call is open, and returns the call's answer and when the stop began.
	stopWith := func(t *testing.T, path string, b platformtest.Behaviour) (a answer, begun time.Time) {
		t.Helper()
		s := newScene(t)
		w := platformtest.NewWorker("i-0", b)
		t.Cleanup(w.Close)
		s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
		g, err := setUpGateway(t, s.store.Address(), nil)
		require.NoError(t, err)
		require.NoError(t, g.Start(context.Background()))
		g.waitReady(t)
		as := make(chan answer, 1)
		go func() {
			st, body, err := g.post(path, "open", "k1", "hello")
			as <- answer{st, body, err, time.Now()}
		}()
		require.Eventually(t, func() bool { return len(w.Seen()) > 0 }, 20*time.Second, time.Millisecond)
		begun = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		require.NoError(t, g.Stop(ctx))
		return <-as, begun
	}
	t.Run("one that its upstream does not answer", func(t *testing.T) {
		a, begun := stopWith(t, "/once/x", platformtest.Hang)
		require.NoError(t, a.err)
		require.Equal(t, http.StatusBadGateway, a.status, "it may have run")
		require.Contains(t, a.body, "HG2005")
		require.Less(t, a.at.Sub(begun), drain)
	})
	t.Run("one that is answered meanwhile", func(t *testing.T) {
		a, _ := stopWith(t, "/once/x", func(w *platformtest.Worker, c net.Conn, r *http.Request) {
			time.Sleep(drain / 2)
			platformtest.Echo(w, c, r)
		})
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status)
	})
}
