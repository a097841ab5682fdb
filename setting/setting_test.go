package setting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fault"
)

func requireParseError(t *testing.T, text, want string) {
	t.Helper()
	_, err := Parse("f.toml", []byte(text))
	require.ErrorContains(t, err, want)
	require.Equal(t, fault.BadSetting, fault.As(err, hollowgrade.Unknown).Code)
}

func TestParse(t *testing.T) {
	t.Run("good settings", func(t *testing.T) {
		_, err := Parse("f.toml", []byte("role = \"agent\"\nbox = \"b\"\npiece = 2048\nlong_share = 1\nsweep = \"2s\"\nmodels = [\"m\"]\n"))
		require.NoError(t, err)
	})
	t.Run("a mistake in the TOML", func(t *testing.T) {
		requireParseError(t, "role = \"entry\"\nbox = \n", "f.toml:2:")
	})
	t.Run("no role", func(t *testing.T) {
		requireParseError(t, "box = \"b\"\n", "role must be entry, agent or gateway")
	})
	t.Run("an unknown key, with the like one", func(t *testing.T) {
		requireParseError(t, "role = \"entry\"\nmaxRequests = 1\n", "f.toml:2: maxRequests is no setting of the role entry, max_requests is")
	})
	t.Run("a key of the other role", func(t *testing.T) {
		requireParseError(t, "role = \"entry\"\npiece = 1\n", "f.toml:2: piece is no setting of the role entry")
	})
	t.Run("a wrong type", func(t *testing.T) {
		requireParseError(t, "role = \"agent\"\n\npiece = \"big\"\n", "f.toml:3: piece must be a whole number")
	})
	t.Run("a value out of range", func(t *testing.T) {
		requireParseError(t, "role = \"agent\"\nlong_share = 3.5\n", "f.toml:2: long_share is 3.5, allowed: 0.05 to 1")
	})
	t.Run("a value that is not in the list", func(t *testing.T) {
		requireParseError(t, "role = \"agent\"\norder = \"lifo\"\n", "allowed: fair, fifo")
	})
	t.Run("a duration that is none", func(t *testing.T) {
		requireParseError(t, "role = \"agent\"\nsweep = \"soon\"\n", "sweep must be a duration")
	})
}

func TestDefaults(t *testing.T) {
	a := DefaultAgent()
	require.Equal(t, 4096, a.Piece)
	require.Equal(t, 500*time.Millisecond, a.Heartbeat)
	require.Equal(t, "fair", a.Order)
}

func TestLeaseMustOutlastPolls(t *testing.T) {
	a := DefaultAgent()
	a.Engine, a.Models = "http://127.0.0.1:1", []string{"m"}
	require.NoError(t, a.Validate())
	a.KeyLease = 2 * a.LogPoll
	require.ErrorContains(t, a.Validate(), "key_lease")
}

func TestEverySettingIsDocumented(t *testing.T) {
	for r := range Roles() {
		for _, d := range Docs(r) {
			require.NotEmpty(t, d.Text, d.Key)
			require.NotEmpty(t, d.Group, d.Key)
		}
	}
}

func TestGateway(t *testing.T) {
	g := DefaultGateway()
	require.NoError(t, g.Validate())
	t.Run("keys are admitted while a read waits", func(t *testing.T) {
		g := g
		g.ConfigWait = 5 * time.Second
		require.Equal(t, 1500*time.Millisecond, g.ReadWait())
		g.KeyFreshness = 3 * time.Second
		require.Equal(t, g.Timing().ReadWait, g.ReadWait())
		require.Less(t, g.ReadWait(), 1500*time.Millisecond*3/5)
		require.NoError(t, g.Validate())
	})
	t.Run("a key_freshness that cannot be held is refused with the smallest that can", func(t *testing.T) {
		g := g
		g.KeyFreshness = 1850 * time.Millisecond
		require.NoError(t, g.CheckFreshness())
		g.KeyFreshness -= time.Millisecond
		require.EqualError(t, g.CheckFreshness(), "key_freshness is 1.849s, the smallest that can be held is 1.85s")
		require.NoError(t, g.Validate(), "a gateway starts all the same")
		require.LessOrEqual(t, g.ReadWait(), 375*time.Millisecond)
		f, err := Parse("g.toml", []byte("role = \"gateway\"\nstore = \"s:1\"\nkey_freshness = \"1s\"\n"))
		require.NoError(t, err)
		require.ErrorContains(t, f.Check(), "g.toml:3: key_freshness is 1s, the smallest that can be held is 1.85s")
	})
	t.Run("a planned stop must end in time", func(t *testing.T) {
		g := g
		g.Linger = g.Grace
		require.ErrorContains(t, g.Validate(), "linger")
	})
	t.Run("keys end with key_freshness unless an outage is allowed for", func(t *testing.T) {
		g := g
		require.Equal(t, g.KeyFreshness, g.KeyAge())
		g.KeyOutage = time.Minute
		require.Equal(t, g.KeyFreshness+time.Minute, g.KeyAge())
		require.NoError(t, g.Validate())
		g.KeyOutage = -time.Second
		require.ErrorContains(t, g.Validate(), "key_outage is -1s, allowed: 0s to 24h")
	})
	t.Run("bounds", func(t *testing.T) {
		g := g
		g.RetryRatio = 2
		require.ErrorContains(t, g.Validate(), "retry_ratio is 2, allowed: 0 to 1")
	})
}
