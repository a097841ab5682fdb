package upstream

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// engineWith returns a client of an engine that answers each call with a document.
func engineWith(t *testing.T, doc string) *Engine {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, doc) }))
	t.Cleanup(s.Close)
	return NewEngine(s.URL, Transport(nil))
}

// Guards against an engine that counts as gone since one of its allocations is odd.
func TestOddHoldingLeavesTheOthers(t *testing.T) {
	sound := `{"id":"a","kind":"export","tokens":4}`
	want := []hollowgrade.Allocation{{ID: "a", Kind: hollowgrade.ExportAllocation, Tokens: 4}}
	for name, odd := range map[string]string{
		"tokens of another type": `{"id":"b","tokens":"4"}`,
		"tokens too many":        `{"id":"b","tokens":1e400}`,
		"no id":                  `{"tokens":4}`,
		"a text":                 `"b"`,
		"null":                   `null`,
		"deeply nested":          strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			hs, err := engineWith(t, "["+odd+","+sound+","+odd+"]").Holdings(t.Context())
			require.ErrorIs(t, err, hollowgrade.ErrUnusedEntries)
			require.ErrorContains(t, err, "2 of 3")
			require.Equal(t, want, hs)
		})
	}
	t.Run("a list that is cut is none", func(t *testing.T) {
		_, err := engineWith(t, "["+sound).Holdings(t.Context())
		require.Error(t, err)
		require.NotErrorIs(t, err, hollowgrade.ErrUnusedEntries)
	})
}
