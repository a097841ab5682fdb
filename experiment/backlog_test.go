package experiment

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Short calls among long prompts, which gateways place by what engines have to read. While what was given ran off in
// the account from the moment at which it was given, and long prompts were held back before they were sent, engines
// looked idle in the midst of a pass of half a second: 0.588 and 0.957 of the short calls were served in time.
func TestShortCallsKeepAwayFromLongPasses(t *testing.T) {
	for _, x := range []struct {
		file, kind string
		least      float64
	}{{"short-goals.toml", "brief", 0.63}, {"alternating.toml", "draft", 0.967}} {
		t.Run(x.file, func(t *testing.T) {
			f, err := Read(filepath.Join(examples, x.file))
			require.NoError(t, err)
			in := meanInTime(f, Variant{Name: "gateway", Decisions: Worth}, x.kind)
			t.Logf("served in time: %.3f", in)
			require.Greater(t, in, x.least)
		})
	}
}
