package losses

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func read(t *testing.T) Report {
	t.Helper()
	b, err := os.ReadFile("testdata/gateway.log")
	require.NoError(t, err)
	r, err := Read(bytes.NewReader(b))
	require.NoError(t, err)
	return r
}

func TestRead(t *testing.T) {
	r := read(t)
	require.Equal(t, []Row{
		{"archive", "HG2002", 2, 500_000},
		{"archive", InTime, 1, 150_000},
		{"brief", InTime, 2, 2_500},
		{"brief", LateFirst, 1, 1_000},
		{"brief", LatePause, 1, 1_000},
		{"", "HG2009", 1, 0},
	}, r.Rows)
	require.Equal(t, 2, r.Skipped)
	t.Run("calls count in the second at which they came", func(t *testing.T) {
		require.Len(t, r.Seconds, 2, "a second without losses is left out")
		require.Equal(t, 10, r.Seconds[0].At.Second())
		require.Equal(t, 3, r.Seconds[0].Calls)
		require.Equal(t, map[string]int{"HG2002": 1, LateFirst: 1}, r.Seconds[0].Reasons)
		require.Equal(t, map[string]int{"HG2002": 1, "HG2009": 1, LatePause: 1}, r.Seconds[1].Reasons)
	})
}

func TestWriteText(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, read(t).WriteText(&b))
	require.Contains(t, b.String(), "HG2002, The answer would come too late")
	require.Regexp(t, `17:00:10 +3 +2 `, b.String())
}

func TestLinesThatAreTooLong(t *testing.T) {
	_, err := Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	require.ErrorContains(t, err, "read log")
}
