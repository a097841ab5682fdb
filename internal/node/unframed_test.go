package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// Guards against answers without a length and chunks being taken for broken off, or broken ones for
// whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	t.Run("are whole", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(eventCount, 0))
		st, b, err := s.gateway.call(t, "/stream/x", "a", "k1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, st)
		require.Equal(t, stream(eventCount), b)
	})
	t.Run("are taken up at another upstream if they end inside an event", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(eventCount, 3), platformtest.Stream(eventCount, 0))
		for i := range 8 {
			st, b, err := s.gateway.call(t, "/stream/x", fmt.Sprint("b", i), "k1")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, st)
			require.Equal(t, stream(eventCount), b)
		}
	})
	t.Run("are broken off if nothing can take them up", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(eventCount, 3))
		_, b, err := s.gateway.call(t, "/stream/x", "c", "k1")
		require.Error(t, err)
		require.Equal(t, stream(3), b)
	})
	t.Run("are taken up at another upstream if they end before their first event", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(0, 0), platformtest.Stream(eventCount, 0))
		for i := range 8 {
			st, b, err := s.gateway.call(t, "/stream/x", fmt.Sprint("d", i), "k1")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, st)
			require.Equal(t, stream(eventCount), b)
		}
	})
	t.Run("are no empty answers if they end before their first event and nothing can take them up", func(t *testing.T) {
		s := newFixture(t, platformtest.UnframedStream(0, 0))
		st, b, err := s.gateway.call(t, "/once/x", "e", "k1")
		require.True(t, err != nil || st == http.StatusBadGateway, "status %d, %q", st, b)
	})
}
