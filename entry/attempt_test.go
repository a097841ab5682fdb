package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/core"
	"github.com/hollowgrade/hollowgrade/fault"
	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// recordingSink records the text that a caller would receive.
type recordingSink struct {
	serviceAnswer
	text string
}

// Token implements [sink].
func (k *recordingSink) Token(_ int, text string) error {
	k.text += text
	return nil
}

func tokens(attempt, offset int, text ...string) *wire.Tokens {
	return &wire.Tokens{Attempt: int32(attempt), Offset: int64(offset), Text: text}
}

func requireCut(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, fault.AnswerCut, fault.As(err, hollowgrade.Unknown).Code)
}

func TestPassTokens(t *testing.T) {
	e := withLinks(0)
	begin := func() (*query, *recordingSink) {
		k := &recordingSink{}
		q := &query{sink: k, request: hollowgrade.Request{Attempt: 2}}
		require.NoError(t, e.forwardTokens(q, tokens(2, 0, "a", "b")))
		return q, k
	}
	t.Run("the next tokens are passed on", func(t *testing.T) {
		q, k := begin()
		require.NoError(t, e.forwardTokens(q, tokens(2, 2, "c")))
		require.Equal(t, "abc", k.text)
	})
	t.Run("a frame that comes twice counts once", func(t *testing.T) {
		q, k := begin()
		require.NoError(t, e.forwardTokens(q, tokens(2, 0, "a", "b")))
		require.NoError(t, e.forwardTokens(q, tokens(2, 1, "b", "c")))
		require.Equal(t, "abc", k.text)
	})
	t.Run("a late frame of an earlier attempt is dropped", func(t *testing.T) {
		q, k := begin()
		require.NoError(t, e.forwardTokens(q, tokens(1, 2, "x")))
		require.Equal(t, "ab", k.text)
	})
	t.Run("a gap ends the attempt", func(t *testing.T) {
		q, k := begin()
		requireCut(t, e.forwardTokens(q, tokens(2, 3, "d")))
		require.Equal(t, "ab", k.text)
	})
	t.Run("a final frame with another count is a failure", func(t *testing.T) {
		q, _ := begin()
		requireCut(t, finalError(q, &wire.Final{Outcome: string(hollowgrade.Finished), Count: 3}))
		require.NoError(t, finalError(q, &wire.Final{Outcome: string(hollowgrade.Finished), Count: 2}))
	})
	t.Run("a code from a newer peer is an internal error", func(t *testing.T) {
		q, _ := begin()
		err := finalError(q, &wire.Final{Outcome: string(hollowgrade.Failed), Code: "HG9999"})
		require.Equal(t, fault.Internal, fault.As(err, hollowgrade.Unknown).Code)
	})
}

func TestMayRepeat(t *testing.T) {
	q := &query{}
	a := &attempts{query: q}
	q.request.Decision.Repeatable = true
	lost := fault.New(fault.UpstreamLost, "lost")
	require.True(t, core.MayRepeat(lost.WithOutcome(hollowgrade.Failed), a.Repeatable()))
	require.False(t, core.MayRepeat(fault.New(fault.DeadlinePassed, "late"), a.Repeatable()))
	q.began = true
	require.False(t, core.MayRepeat(lost.WithOutcome(hollowgrade.Failed), a.Repeatable()))
	q.began = false
	q.request.Decision.Repeatable = false
	require.False(t, core.MayRepeat(lost.WithOutcome(hollowgrade.Unknown), a.Repeatable()))
	require.True(t, core.MayRepeat(lost.WithOutcome(hollowgrade.NotRun), a.Repeatable()))
}
