package cli

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/internal/node"
)

func TestStatusTellsTheEraOfTheStore(t *testing.T) {
	for want, s := range map[string]node.Status{
		"unknown":        {EraAge: -1},
		"3\n":            {StoreEra: 3, EraAge: -1},
		"4, since 2.5 s": {StoreEra: 4, EraAge: 2.5},
	} {
		var b strings.Builder
		require.NoError(t, writeStatus(&b, []node.Status{s}, 1))
		require.Contains(t, b.String(), want)
	}
}
