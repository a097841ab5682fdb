package fault

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRegistry(t *testing.T) {
	seen := map[Code]bool{}
	for _, d := range Registry {
		require.False(t, seen[d.Code], "%s stands twice", d.Code)
		seen[d.Code] = true
		require.NotEmpty(t, d.Title, d.Code)
		require.NotEmpty(t, d.Text, d.Code)
		require.NotEmpty(t, d.Since, d.Code)
		require.NotEmpty(t, d.Outcome, d.Code)
		require.GreaterOrEqual(t, d.Status, 400, d.Code)
	}
}
