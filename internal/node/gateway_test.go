package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
	"github.com/hollowgrade/hollowgrade/setting"
)

// gatewayConfig is a configuration as operators write it.
const gatewayConfig = `{"version":%d,"routes":[
 {"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","resumable":true,"timeoutMs":5000,"goalLatencyMs":300,"gap_aim_ms":200,"maxAttempts":3,"service":"s"},
 {"name":"once","host":"h","pathPrefix":"/once/","kind":"unsafe","timeoutMs":%d,"goalLatencyMs":300,"maxAttempts":1,"service":"s"}],
 "services":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"o","apiKeys":[%s]}]}`

// logBuffer collects the log of a process.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// String returns all that was written.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// linesOf returns the lines with a request's id, in order.
func (l *logBuffer) linesOf(id string) (ls []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range strings.Lines(l.b.String()) {
		m := map[string]any{}
		if json.Unmarshal([]byte(s), &m) == nil && m["request"] == id {
			ls = append(ls, m)
		}
	}
	return ls
}

// gateway is a gateway under test.
type gateway struct {
	*GatewayNode
	log            *logBuffer
	callersAddress string
	ready          string
	peersAddress   string
}

// maxPortTries bounds the tries to get free ports: any process may take a free port before the gateway
// listens on it.
const maxPortTries = 5

func startGateway(t *testing.T, store string, change func(*setting.Gateway)) (g *gateway) {
	t.Helper()
	g = startGatewayToStop(t, store, change)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last lines of gateway %s:\n%s", g.Box.Name, lastLines(g.log.String(), 40))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, g.Stop(ctx))
	})
	return g
}

// startGatewayToStop starts a gateway that the test stops.
func startGatewayToStop(t *testing.T, store string, change func(*setting.Gateway)) (g *gateway) {
	t.Helper()
	var err error
	for range maxPortTries {
		if g, err = setUpGateway(t, store, change); !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	require.NoError(t, err)
	require.NoError(t, g.Start(context.Background()))
	return g
}

func setUpGateway(t *testing.T, store string, change func(*setting.Gateway)) (g *gateway, err error) {
	t.Helper()
	g = &gateway{log: &logBuffer{}, callersAddress: platformtest.FreeAddress(t), ready: platformtest.FreeAddress(t), peersAddress: platformtest.FreeAddress(t)}
	c := setting.DefaultGateway()
	c.Box, c.Hall, c.Store = "box-"+g.callersAddress, "z1", store
	c.Callers, c.Readiness, c.Peers = g.callersAddress, g.ready, g.peersAddress
	c.ConfigWait, c.FleetWait = 200*time.Millisecond, 200*time.Millisecond
	c.Linger = 10 * time.Millisecond
	if change != nil {
		change(&c)
	}
	l, err := Logger(g.log, "info")
	require.NoError(t, err)
	g.GatewayNode, err = NewGateway(c, l)
	return g, err
}

func TestAPortThatIsTakenMeanwhileIsTriedElsewhere(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := platformtest.NewStore()
	t.Cleanup(s.Close)
	tries := 0
	startGateway(t, s.Address(), func(c *setting.Gateway) {
		if tries++; tries == 1 {
			c.Readiness = l.Addr().String()
		}
	})
	require.Equal(t, 2, tries)
}

func (g *gateway) waitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { ok, _ := g.GatewayNode.ready(); return ok }, 20*time.Second, 5*time.Millisecond)
}

// call sends one request and returns status and body, with an error if the
// answer was cut.
func (g *gateway) call(t *testing.T, path, id, key string) (status int, body string, err error) {
	t.Helper()
	return g.post(path, id, key, "hello")
}

// post sends a request with a body.
func (g *gateway) post(path, id, key, text string) (status int, body string, err error) {
	return g.postWith(http.Header{}, path, id, key, text)
}

// postWith sends a request with further headers and a body.
func (g *gateway) postWith(more http.Header, path, id, key, text string) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callersAddress+path, strings.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	r.Host = "h"
	r.Header = more
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// fixture is a store, workers and a gateway that knows them, if there are any.
type fixture struct {
	store   *platformtest.Store
	workers []*platformtest.Worker
	gateway *gateway
}

func newFixture(t *testing.T, bs ...platformtest.Behaviour) *fixture {
	t.Helper()
	s := &fixture{store: platformtest.NewStore()}
	t.Cleanup(s.store.Close)
	s.configure(1, 5000, "k1", "k2")
	s.addWorkers(t, bs...)
	if len(bs) > 0 {
		s.gateway = startGateway(t, s.store.Address(), nil)
		s.gateway.waitReady(t)
	}
	return s
}

func (s *fixture) addWorkers(t *testing.T, bs ...platformtest.Behaviour) {
	t.Helper()
	for i, b := range bs {
		w := platformtest.NewWorker(fmt.Sprintf("i-%d", i), b)
		t.Cleanup(w.Close)
		s.store.PutJSON("keyed.servers", w.ID, w.Record("s", "ready"))
		s.workers = append(s.workers, w)
	}
}

func (s *fixture) configure(version, onceTimeout int, keys ...string) {
	b, _ := json.Marshal(keys)
	s.store.Put("keyed.op", "config", []byte(fmt.Sprintf(gatewayConfig, version, onceTimeout, strings.Trim(string(b), "[]"))))
}

func stream(n int) (s string) {
	for i := 1; i <= n; i++ {
		s += platformtest.Event(i)
	}
	return s
}

func TestGatewayServes(t *testing.T) {
	t.Run("a plain call", func(t *testing.T) {
		s := newFixture(t, platformtest.Echo)
		st, body, err := s.gateway.call(t, "/once/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 200, st)
		require.Equal(t, "i-0 hello", body)
		require.Equal(t, "o", s.workers[0].Requests()[0].Header.Get("Tenant"))
	})
	t.Run("a stream that its workers break off", func(t *testing.T) {
		breaks := map[string]platformtest.Behaviour{"": platformtest.Stream(9, 4), "4": platformtest.Stream(9, 6), "6": platformtest.Stream(9, 0)}
		b := func(w *platformtest.Worker, c net.Conn, r *http.Request) {
			breaks[r.Header.Get("Last-Event-Id")](w, c, r)
		}
		s := newFixture(t, b, b, b)
		st, body, err := s.gateway.call(t, "/stream/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 200, st)
		require.Equal(t, stream(9), body, "no event is missing, repeated or out of order")
	})
	t.Run("a worker that drains gets nothing", func(t *testing.T) {
		s := newFixture(t, platformtest.Echo, platformtest.Echo)
		s.store.PutJSON("keyed.servers", "i-0", s.workers[0].Record("s", "draining"))
		seen := len(s.workers[0].Requests())
		require.Eventually(t, func() bool {
			before := len(s.workers[0].Requests())
			for i := range 8 {
				_, _, _ = s.gateway.call(t, "/once/x", fmt.Sprint("b", i), "k1")
			}
			return len(s.workers[0].Requests()) == before
		}, 10*time.Second, time.Millisecond)
		require.GreaterOrEqual(t, len(s.workers[0].Requests()), seen)
	})
}

func TestGatewayWithoutConfiguration(t *testing.T) {
	f := platformtest.NewStore()
	defer f.Close()
	f.SetMode(platformtest.Unavailable)
	g := startGateway(t, f.Address(), nil)
	st, body, err := g.call(t, "/once/x", "a1", "k1")
	require.NoError(t, err)
	require.Equal(t, 503, st, body)
	ok, why := g.GatewayNode.ready()
	require.False(t, ok)
	require.Equal(t, "no configuration yet", why)
}

func TestRevokedKey(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	st, _, _ := s.gateway.call(t, "/once/x", "a1", "k2")
	require.Equal(t, 200, st)
	s.configure(2, 5000, "k1")
	require.Eventually(t, func() bool { return s.gateway.Revision() == 2 }, 10*time.Second, time.Millisecond)
	st, _, _ = s.gateway.call(t, "/once/x", "a2", "k2")
	require.Equal(t, 401, st)
	t.Run("an older version does not bring it back", func(t *testing.T) {
		s.configure(1, 5000, "k1", "k2")
		s.store.Put("keyed.op", "other", []byte("x"))
		st, _, _ = s.gateway.call(t, "/once/x", "a3", "k2")
		require.Equal(t, 401, st)
	})
}

// A configuration that can't be used leaves the present one in force and is logged in one line.
func TestConfigurationsThatAreNotUsed(t *testing.T) {
	whole := fmt.Sprintf(gatewayConfig, 7, 5000, `"k1"`)
	for name, c := range map[string]struct{ record, why string }{
		"cut short":           {whole[:len(whole)/2], "unexpected end"},
		"not decodable":       {`{"version":7,"routes":5}`, "cannot unmarshal"},
		"without a version":   {`{"routes":[]}`, "no version"},
		"older":               {fmt.Sprintf(gatewayConfig, 1, 5000, `"k9"`), "not newer"},
		"larger than allowed": {whole + strings.Repeat(" ", 70_000), "larger than the settings allow"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, platformtest.Echo)
			g := startGateway(t, s.store.Address(), func(c *setting.Gateway) { c.ConfigMaxBytes = 65_536 })
			g.waitReady(t)
			s.configure(2, 5000, "k1")
			require.Eventually(t, func() bool { return g.Core.Catalog().Version == 2 }, 20*time.Second, time.Millisecond)
			s.store.Put("keyed.op", "config", []byte(c.record))
			require.Eventually(t, func() bool { return strings.Contains(g.log.String(), c.why) }, 20*time.Second, time.Millisecond)
			require.EqualValues(t, 2, g.Core.Catalog().Version)
			line := lineWith(g.log.String(), c.why)
			for _, part := range []string{"not ", `"bytes":` + fmt.Sprint(len(c.record)), `"from":"`, `"offset":`} {
				require.Contains(t, line, part)
			}
			st, _, err := g.call(t, "/once/x", "a1", "k1")
			require.NoError(t, err)
			require.Equal(t, 200, st)
		})
	}
}

// lastLines returns the end of a log.
func lastLines(log string, n int) string {
	ls := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(ls[max(len(ls)-n, 0):], "\n")
}

// lineWith returns the first line of a log that has a text.
func lineWith(log, text string) string {
	for l := range strings.Lines(log) {
		if strings.Contains(l, text) {
			return l
		}
	}
	return ""
}

func TestRecordsOfGateways(t *testing.T) {
	for name, c := range map[string]struct {
		record string
		want   member
		fails  bool
	}{
		"as written now":               {record: `{"peers":"10.0.0.1:1","hall":"z1","link_mbps":20}`, want: member{Peers: "10.0.0.1:1", Hall: "z1", Link: 20}},
		"of a version that wrote less": {record: "10.0.0.1:1", want: member{Peers: "10.0.0.1:1"}},
		"with a field from later on":   {record: `{"peers":"10.0.0.1:1","rack":"r1"}`, want: member{Peers: "10.0.0.1:1"}},
		"cut":                          {record: `{"peers":"10.0`, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := decodeMember([]byte(c.record))
			require.Equal(t, c.fails, err != nil)
			if !c.fails {
				require.Equal(t, c.want, m)
			}
		})
	}
}

func TestKeysAdmitNothingOnceNobodyCanTell(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	g := startGateway(t, s.store.Address(), func(c *setting.Gateway) {
		c.KeyFreshness, c.Freshness = time.Second, 100*time.Millisecond
	})
	g.waitReady(t)
	s.store.SetMode(platformtest.Silent)
	require.Eventually(t, func() bool { age, _ := g.config.Age(); return age > time.Second }, 20*time.Second, time.Millisecond)
	st, _, err := g.call(t, "/once/x", "a1", "k1")
	require.NoError(t, err)
	require.Equal(t, 503, st, "refused at once, and not as an unknown key")
	require.Empty(t, s.workers[0].Requests())
}

// Guards against an outage of the store that stops all calls: during one of eight seconds no call
// was served for three of them, although the settings allow keys to stay valid that long.
func TestKeysStayGoodThroughAnOutageWhereThatIsAllowed(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	g := startGateway(t, s.store.Address(), func(c *setting.Gateway) {
		c.KeyFreshness, c.Freshness, c.KeyOutage = time.Second, 100*time.Millisecond, time.Hour
	})
	g.waitReady(t)
	s.store.SetMode(platformtest.Silent)
	require.Eventually(t, func() bool { age, _ := g.config.Age(); return age > time.Second }, 20*time.Second, time.Millisecond)
	t.Run("a key that was good is good", func(t *testing.T) {
		st, _, err := g.call(t, "/once/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 200, st)
		g.waitReady(t)
	})
	t.Run("one that is missing may have been added since", func(t *testing.T) {
		st, _, err := g.call(t, "/once/x", "a2", "k9")
		require.NoError(t, err)
		require.Equal(t, 503, st)
	})
}

// Guards against calls that are refused right after the start of a gateway (34 within 15 ms),
// before it has read its first configuration.
func TestCallersWaitForTheConfiguration(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	for range 5 {
		g := startGateway(t, s.store.Address(), nil)
		st, _, err := g.call(t, "/once/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 200, st)
	}
	t.Run("for a while", func(t *testing.T) {
		away := platformtest.NewStore()
		defer away.Close()
		away.SetMode(platformtest.Silent)
		g := startGateway(t, away.Address(), nil)
		st, _, err := g.call(t, "/once/x", "a1", "k1")
		require.NoError(t, err)
		require.Equal(t, 503, st)
	})
}

func TestStoreThatTurnsOneGatewayAway(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	away := platformtest.NewStore()
	defer away.Close()
	away.SetMode(platformtest.Resetting)
	g := startGateway(t, away.Address(), func(c *setting.Gateway) { c.Seeds = []string{s.gateway.peersAddress, platformtest.FreeAddress(t)} })
	g.waitReady(t)
	st, _, err := g.call(t, "/once/x", "a1", "k2")
	require.NoError(t, err)
	require.Equal(t, 200, st)
	s.configure(2, 5000, "k1")
	require.Eventually(t, func() bool { return g.Revision() == 2 }, 20*time.Second, time.Millisecond, "a peer reports a revoked key")
	st, _, err = g.call(t, "/once/x", "a2", "k2")
	require.NoError(t, err)
	require.Equal(t, 401, st)
}

// The store may apply a write of a box's earlier instance seconds late.
func TestLateWriteOfAnEarlierLifeIsMadeGood(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	box := s.gateway.Box.Name
	own := fmt.Sprintf(`{"peers":%q,"hall":"z1","link_mbps":0}`, s.gateway.peersAddress)
	listed := func() bool { return s.store.Value("keyed.members", box) == own }
	require.Eventually(t, listed, 20*time.Second, time.Millisecond)
	s.store.Put("keyed.members", box, []byte("10.9.9.9:1"))
	require.Eventually(t, listed, 20*time.Second, time.Millisecond)
	s.store.Put("keyed.members", box, nil)
	require.Eventually(t, listed, 20*time.Second, time.Millisecond)
}

func TestReload(t *testing.T) {
	s := newFixture(t, platformtest.Echo)
	file := func(text string) (args []string) {
		p := t.TempDir() + "/gateway.toml"
		require.NoError(t, writeFile(p, text))
		return []string{"gateway", "--config", p}
	}
	c := s.gateway.settings.Load()
	base := fmt.Sprintf("role = \"gateway\"\nbox = %q\nhall = \"z1\"\ncallers = %q\nreadiness = %q\nstore = %q\n", c.Box, c.Callers, c.Readiness, c.Store)
	require.NoError(t, s.gateway.Reload(file(base+"key_freshness = \"7s\"\nverbosity = \"warn\"\n")))
	require.Equal(t, 7*time.Second, s.gateway.settings.Load().KeyFreshness)
	require.Equal(t, log.WarnLevel, s.gateway.Node.log.GetLevel())
	t.Run("wrong settings change nothing", func(t *testing.T) {
		err := s.gateway.Reload(file(base + "key_freshness = \"soon\"\n"))
		require.ErrorContains(t, err, "gateway.toml:7: key_freshness must be a duration")
		require.Equal(t, 7*time.Second, s.gateway.settings.Load().KeyFreshness)
	})
	t.Run("settings that do not fit each other change nothing", func(t *testing.T) {
		require.ErrorContains(t, s.gateway.Reload(file(base+"linger = \"9s\"\n")), "linger is 9s, it must be shorter than grace (8s)")
		require.Equal(t, 7*time.Second, s.gateway.settings.Load().KeyFreshness)
	})
	t.Run("a missing file changes nothing", func(t *testing.T) {
		require.Error(t, s.gateway.Reload([]string{"gateway", "--config", "/nonexistent"}))
	})
	t.Run("a setting that is gone from the file has its default again", func(t *testing.T) {
		require.NoError(t, s.gateway.Reload(file(base+"key_outage = \"10m\"\n")))
		require.Equal(t, 10*time.Minute, s.gateway.settings.Load().KeyOutage)
		require.NoError(t, s.gateway.Reload(file(base)))
		require.Zero(t, s.gateway.settings.Load().KeyOutage)
		require.Equal(t, setting.DefaultGateway().KeyFreshness, s.gateway.settings.Load().KeyFreshness)
	})
	t.Run("the command line has precedence, as at the start", func(t *testing.T) {
		require.NoError(t, s.gateway.Reload(append(file(base+"key_outage = \"10m\"\n"), "--key-outage", "1m")))
		require.Equal(t, time.Minute, s.gateway.settings.Load().KeyOutage)
	})
}

func writeFile(path, text string) error {
	return os.WriteFile(path, []byte(text), 0o600)
}
