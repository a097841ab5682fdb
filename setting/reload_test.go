package setting

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade"
)

// gatewayPage is the operators' page of the gateway.
const gatewayPage = "../docs/operators/gateway.md"

// Guards against a setting of which nobody knows whether a reload puts it in force.
func TestEachGatewaySettingSaysWhatAReloadDoes(t *testing.T) {
	lists := map[string][]string{"at once": reloadable, "restart": startOnly, "not used": unused}
	b, err := os.ReadFile(gatewayPage)
	require.NoError(t, err)
	page := map[string]string{}
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (at once|restart|not used)\\b").FindAllStringSubmatch(string(b), -1) {
		require.NotContains(t, page, m[1], "twice on the page")
		page[m[1]] = m[2]
	}
	listed := map[string]string{}
	for n, ks := range lists {
		for _, k := range ks {
			require.NotContains(t, listed, k, "in two lists")
			listed[k] = n
		}
	}
	fields := 0
	for _, d := range Docs(hollowgrade.GatewayRole) {
		fields++
		require.Contains(t, listed, d.Key, "in no list")
		require.Equal(t, listed[d.Key], page[d.Key], "%s on the page", d.Key)
	}
	require.Len(t, listed, fields, "a list names what is no setting")
	require.Len(t, page, fields, "the page names what is no setting")
}
