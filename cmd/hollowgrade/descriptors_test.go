package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// Guards against callers that rest and take the descriptors which calls to upstreams need.
func TestConnectionsLeaveDescriptorsForUpstreams(t *testing.T) {
	const descriptors, connections = 300, 400
	for name, args := range map[string]string{"of the process": "", "of the settings": " --max-descriptors 250"} {
		t.Run(name, func(t *testing.T) {
			s := platformtest.NewStore()
			t.Cleanup(s.Close)
			w := platformtest.NewWorker("i-0", platformtest.Stream(3, 0))
			t.Cleanup(w.Close)
			s.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
			s.Put("keyed.op", "config", []byte(signalsConfig))
			g := &signalGateway{callers: platformtest.FreeAddress(t), readiness: platformtest.FreeAddress(t)}
			g.process = start(t, "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s gateway --box b --hall z --callers %s --readiness %s --store %s%s",
				descriptors, binaries.hollowgrade, g.callers, g.readiness, s.Address(), args))
			g.awaitReady(t)
			var cs []net.Conn
			for range connections {
				c, err := net.Dial("tcp", g.callers)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				cs = append(cs, c)
			}
			time.Sleep(time.Second) // the gateway accepts what it may
			fmt.Fprint(cs[0], "POST /stream/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, cs[0].SetReadDeadline(time.Now().Add(8*time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(cs[0]), nil)
			require.NoError(t, err)
			defer res.Body.Close()
			b, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, res.StatusCode)
			require.Contains(t, string(b), platformtest.Event(3))
		})
	}
}
