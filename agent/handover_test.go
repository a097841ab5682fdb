package agent

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/config"
	"github.com/hollowgrade/hollowgrade/internal/wire"
)

// Guards against a range of keys that is granted at once though a part of its records was not read: a key of
// that part would run again.
func TestRangeOfWhichABatchCannotBeReadIsNotHandedOver(t *testing.T) {
	const n, epoch = 3, 7
	batch := func(records string, last bool) *wire.Handover {
		return &wire.Handover{Range: n, Epoch: epoch, Records: []byte(records), Last: last}
	}
	for name, odd := range map[string]string{
		"a number":               `[5]`,
		"a key of another type":  `[{"id":{"key":5}}]`,
		"a number too large":     `[{"left":1e400}]`,
		"deeply nested":          strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"cut":                    `[{"id":{"key":"a"`,
		"one odd record of many": `[{},{},5,{}]`,
	} {
		t.Run(name, func(t *testing.T) {
			k := NewKeeper("b", "i", DefaultKeyTimes(), hollowgrade.SystemClock(), nil, nil, nil, nil, nil)
			require.NoError(t, k.ReceiveHandover(batch(`[]`, false)))
			require.Error(t, k.ReceiveHandover(batch(odd, true)))
			r := k.openRange(n, config.Range{KeyRange: config.KeyRange{Owner: "b", Incarnation: "i", Former: epoch}, Epoch: epoch + 1})
			require.True(t, r.grantsFrom.After(k.clock.Now()), "the former keeper's lease is waited for")
		})
	}
}
