package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// Tests named TestCrowd have bounds of memory. They run one at a time and beside nothing else.

const (
	crowdMemoryMB    = 96 // of the box, and so the bound of a process's memory
	crowdDescriptors = 600
	crowdClients     = 400
	crowdWriteTime   = 5 * time.Second // of one client
	crowdHold        = time.Second     // for which a client then keeps its connection open
	crowdEndless     = 8 << 20         // bytes of a client that sends without end
	crowdPatience    = time.Minute     // for a request that may hang
	memoryVariable   = "HOLLOWGRADE_MEMORY_MB"
	publishedHead    = 16384 // limit of a head in the configuration
	crowdMegabyte    = 1 << 20
	headBegin        = "POST /stream/x HTTP/1.1\r\nHost: h\r\n"
	gatewayBegin     = headBegin + "Attempt-Id: a1\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer k1\r\n"
)

// shortFields returns header fields of 6 to 8 bytes with distinct names, n bytes at most.
func shortFields(n int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, 0, n)
	for i := 0; len(b)+len("abcd:\r\n") <= n; i++ {
		for k := i; ; k /= len(digits) {
			b = append(b, digits[k%len(digits)])
			if k < len(digits) {
				break
			}
		}
		b = append(b, ":\r\n"...)
	}
	return string(b)
}

// misbehaviour is what each client of a crowd sends: a begin once, and then more again and again.
type misbehaviour struct {
	begin string
	again string
}

// beyondLimits are clients that send more than the published limits allow.
func beyondLimits() map[string]misbehaviour {
	fields := shortFields(crowdMegabyte)
	return map[string]misbehaviour{
		"short fields":               {begin: headBegin + fields},
		"short fields without end":   {begin: headBegin, again: fields},
		"one field":                  {begin: headBegin + "x: " + strings.Repeat("y", crowdMegabyte)},
		"one field without end":      {begin: headBegin + "x: ", again: strings.Repeat("y", crowdMegabyte)},
		"a request line":             {begin: "GET /" + strings.Repeat("y", crowdMegabyte)},
		"carriage returns":           {begin: strings.Repeat("\r", crowdMegabyte)},
		"empty lines without end":    {again: strings.Repeat("\r\n", crowdMegabyte/2)},
		"line feeds without end":     {again: strings.Repeat("\n", crowdMegabyte)},
		"empty lines after a POST":   {begin: headBegin + "Content-Length: 0\r\n\r\n", again: strings.Repeat("\r\n", crowdMegabyte/2)},
		"a folded field without end": {begin: headBegin + "x: y\r\n", again: strings.Repeat(" y\r\n", crowdMegabyte/4)},
	}
}

// withinLimits are clients that keep to the published limits and wait in the middle of a request, of which the
// head begins with the given lines.
func withinLimits(begin string) map[string]misbehaviour {
	const reserve = 2800 // of the published limit, also where a field is counted with a space after its colon
	fields := shortFields(publishedHead - reserve)
	return map[string]misbehaviour{
		"heads that do not end":   {begin: begin + fields},
		"bodies that do not come": {begin: begin + fields + "Content-Length: 1000\r\n\r\n"},
	}
}

// send sends what the client sends and keeps the connection open for a while. Errors are ignored: the
// server may close the connection at any time.
func (m misbehaviour) send(address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTime))
	_, err = io.WriteString(c, m.begin)
	for n := 0; err == nil && m.again != "" && n < crowdEndless; n += len(m.again) {
		_, err = io.WriteString(c, m.again)
	}
	_ = c.SetReadDeadline(time.Now().Add(crowdHold))
	_, _ = io.Copy(io.Discard, c)
}

// crowd runs clients at the same time and returns when the last one has gone.
func crowd(clients int, f func()) {
	var g sync.WaitGroup
	for range clients {
		g.Go(f)
	}
	g.Wait()
}

// requireBounds requires that a process lives, has never had more memory than its box, and has no more
// descriptors open than it may.
func requireBounds(t *testing.T, p *process) {
	t.Helper()
	peak := peakMB(t, p.Process.Pid)
	ds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	require.NoError(t, err)
	t.Logf("peak memory %d MB, %d descriptors", peak, len(ds))
	require.Less(t, peak, crowdMemoryMB)
	require.Less(t, len(ds), crowdDescriptors)
}

// crowdGateway is a gateway on a small box, with its addresses.
type crowdGateway struct {
	*signalGateway
	operators, peers string
}

func startCrowdGateway(t *testing.T) *crowdGateway {
	t.Helper()
	return startCrowdGatewayWith(t, signalsConfig)
}

func startCrowdGatewayWith(t *testing.T, config string) *crowdGateway {
	t.Helper()
	t.Setenv(memoryVariable, fmt.Sprint(crowdMemoryMB))
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	w := platformtest.NewWorker("i-0", platformtest.PacedStream(3, 0))
	t.Cleanup(w.Close)
	s.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
	s.Put("keyed.op", "config", []byte(config))
	g := &crowdGateway{
		signalGateway: &signalGateway{callers: platformtest.FreeAddress(t), readiness: platformtest.FreeAddress(t)},
		operators:     platformtest.FreeAddress(t),
		peers:         platformtest.FreeAddress(t),
	}
	g.process = start(t, binaries.hollowgrade, "gateway", "--box", "b", "--hall", "z", "--callers", g.callers, "--readiness", g.readiness,
		"--operators", g.operators, "--peers", g.peers, "--store", s.Address(), "--max-descriptors", fmt.Sprint(crowdDescriptors))
	g.awaitReady(t)
	return g
}

// requireAnswered requires that one ordinary request is answered.
func (g *crowdGateway) requireAnswered(t *testing.T) {
	t.Helper()
	res := g.send(t, "/stream/x", "ordinary")
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(b), platformtest.Event(3))
}

// Guards against callers that fill the memory of a gateway by bytes beyond the limits, or by many requests within them.
func TestCrowdOfCallersDoesNotFillAGateway(t *testing.T) {
	for _, ms := range []map[string]misbehaviour{beyondLimits(), withinLimits(gatewayBegin)} {
		for name, m := range ms {
			t.Run(name, func(t *testing.T) {
				g := startCrowdGateway(t)
				crowd(crowdClients, func() { m.send(g.callers) })
				requireBounds(t, g.process)
				g.requireAnswered(t)
			})
		}
	}
}

// Guards against a bound of memory that refuses a request which the published limits allow.
func TestCrowdOfOneWithinTheLimitsIsServed(t *testing.T) {
	const reserve = 2800 // as in withinLimits
	g := startCrowdGateway(t)
	c, err := net.Dial("tcp", g.callers)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, gatewayBegin+shortFields(publishedHead-reserve)+"Content-Length: 1000\r\n\r\n"+strings.Repeat("b", 1000))
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode, string(b))
	require.Contains(t, string(b), platformtest.Event(3))
	requireBounds(t, g.process)
}

// Guards against callers that take all connections and send nothing, or a part of a head, so that others get no
// answer.
func TestCrowdOfConnectionsKeepsNobodyOut(t *testing.T) {
	const limits = `"headerTimeoutMs":3000,"idleTimeoutMs":15000`
	for name, begin := range map[string]string{"nothing": "", "a part of a head": headBegin} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, signalsConfig, limits)
			g := startCrowdGatewayWith(t, strings.Replace(signalsConfig, limits, `"headerTimeoutMs":3600000,"idleTimeoutMs":3600000`, 1))
			for range 2 * crowdDescriptors {
				c, err := net.Dial("tcp", g.callers)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				_, _ = io.WriteString(c, begin) // the gateway may have closed the connection
			}
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				_, body, err := postAs(g.callers, "/stream/x", "ordinary")
				assert.NoError(t, err)
				assert.Contains(t, body, platformtest.Event(3))
			}()
			select {
			case <-answered:
			case <-time.After(crowdPatience):
				require.Fail(t, "the request is not answered")
			}
			requireBounds(t, g.process)
			g.awaitReady(t)
		})
	}
}
