package hollowgrade

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParsePartID(t *testing.T) {
	parse := func(t *testing.T, s string) PartID {
		t.Helper()
		p, err := ParsePartID(s)
		require.NoError(t, err)
		return p
	}
	t.Run("ids that differ in spelling only are the same", func(t *testing.T) {
		for _, s := range []string{"5C1E07A2", "005c1e07a2", strings.Repeat("0", 40) + "5c1e07a2"} {
			require.Equal(t, parse(t, "5c1e07a2"), parse(t, s))
		}
		require.Equal(t, "5c1e07a2", parse(t, "005C1e07a2").String())
		require.Equal(t, "0", parse(t, "000").String())
	})
	t.Run("ids of any length differ", func(t *testing.T) {
		seen := map[PartID]bool{}
		for _, s := range []string{"0", "1", "10", "100", strings.Repeat("f", 32), "1" + strings.Repeat("f", 32), "2" + strings.Repeat("f", 32)} {
			seen[parse(t, s)] = true
		}
		require.Len(t, seen, 7)
	})
	t.Run("other text is refused", func(t *testing.T) {
		for _, s := range []string{"", "g", "0x1", "-1", " 1", strings.Repeat("f", 40) + "g"} {
			_, err := ParsePartID(s)
			require.Error(t, err, s)
		}
	})
}
