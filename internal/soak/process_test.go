package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Gateways' ports are below the system's range for outgoing connections, or one of these could take
// the port of a gateway before it restarts. Each run locks a part of them, as other runs may go on
// at the same time.
const firstPort, portsPerRun, maxParallelRuns = 12_000, 2_000, 10

// ownPorts returns the first port of this run's part, which stays locked until the process exits.
var ownPorts = sync.OnceValues(func() (first int, err error) {
	d := filepath.Join(os.TempDir(), "hollowgrade-soak-ports")
	if err = os.MkdirAll(d, 0o755); err != nil {
		return 0, err
	}
	for i := range maxParallelRuns {
		f, err := os.OpenFile(filepath.Join(d, fmt.Sprint(i)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return 0, err
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			portsLock = f
			return firstPort + i*portsPerRun, nil
		}
		_ = f.Close() // locked by another run
	}
	return 0, fmt.Errorf("%d runs have all ports", maxParallelRuns)
})

// portsLock is held open for as long as the process runs.
var portsLock *os.File

// usedPorts has the ports that were assigned: a port stays free until its gateway starts, and could
// be assigned twice.
var usedPorts = map[int]bool{}

func freeAddress(t testing.TB) string {
	t.Helper()
	first, err := ownPorts()
	require.NoError(t, err)
	var k net.ListenConfig
	for range portsPerRun {
		p := first + rand.IntN(portsPerRun)
		a := fmt.Sprint("127.0.0.1:", p)
		if usedPorts[p] {
			continue
		}
		l, err := k.Listen(context.Background(), "tcp", a)
		if err == nil {
			require.NoError(t, l.Close())
			usedPorts[p] = true
			return a
		}
	}
	require.Fail(t, "no port is free")
	return ""
}

func (w *world) newGateway(i int, seeds *[]string) *gateway {
	g := &gateway{
		name:           fmt.Sprint("box-", i),
		index:          i,
		callersAddress: freeAddress(w.t),
		readyAddress:   freeAddress(w.t),
		store:          newProxy(w.t, w.store.Address()),
		config:         filepath.Join(w.logs, fmt.Sprint("box-", i, ".toml")),
	}
	peers := freeAddress(w.t)
	g.peers = newProxy(w.t, peers)
	link := 0
	if i%wideLinkEvery != 0 {
		g.store.rate, g.peers.rate, link = narrowLinkBytesPerSecond, narrowLinkBytesPerSecond, narrowLinkMbits
	}
	*seeds = append(*seeds, g.peers.address())
	g.settings = fmt.Sprintf(`role = "gateway"
box = %q
hall = "z1"
callers = %q
readiness = %q
peers = %q
announce = %q
link_mbps = %d
seeds = ["%s"]
store = %q
key_freshness = %q
freshness = %q
linger = %q
memory_mb = %d
long_wait = true
retry_ratio = %g
retry_slack = %d
retry_window = %q
`, g.name, g.callersAddress, g.readyAddress, peers, g.peers.address(), link, strings.Join(*seeds, `", "`), g.store.address(), keyFreshness, maxApplyDelay, stopLinger, maxPeakMB,
		retryRatio, retrySlack, retryWindow)
	w.writeSettings(g, stopGrace)
	return g
}

// writeSettings writes a gateway's settings file.
func (w *world) writeSettings(g *gateway, grace time.Duration) {
	part := g.config + ".part" // renaming makes the write atomic
	text := fmt.Sprintf("%sgrace = %q\n", g.settings, grace)
	if err := errors.Join(os.WriteFile(part, []byte(text), 0o600), os.Rename(part, g.config)); err != nil {
		w.t.Errorf("settings of %s: %v", g.name, err)
	}
}

// start starts a gateway's process, unless an overlapping step has already done so.
func (w *world) start(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running() {
		return
	}
	out, err := os.OpenFile(filepath.Join(w.logs, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Errorf("log of %s: %v", g.name, err)
		return
	}
	c := exec.Command(w.binary, "gateway", "--config", g.config)
	c.Stdout, c.Stderr = out, out
	g.log = nil
	if w.pipedLogs {
		p, writer, err := w.openLogPipe(g, out)
		if err != nil {
			w.t.Errorf("log pipe of %s: %v", g.name, err)
			return
		}
		defer writer.Close()
		c.Stdout, c.Stderr, g.log = writer, writer, p
	}
	pipe := g.log
	c.Env = append(os.Environ(), suspendedFileEnv+"="+g.suspendedPath())
	if err = c.Start(); err != nil {
		w.t.Errorf("start %s: %v", g.name, err)
		return
	}
	done := make(chan struct{})
	g.cmd, g.exited, g.asked, g.logStart = c, done, false, logSize(out)
	g.instance++
	go func() {
		_ = c.Wait() // its log has the reason of its exit
		if pipe != nil {
			pipe.end()
		}
		w.recordOwnEnd(g, c.ProcessState.String(), logSize(out))
		_ = out.Close()
		close(done)
	}()
}

// signal sends a signal to a gateway's process, if it has one, and returns a channel that is closed
// when the process has exited.
func (g *gateway) signal(s syscall.Signal) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asked = g.asked || s == syscall.SIGTERM || s == syscall.SIGKILL
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s) // it may have exited already
	}
	return g.exited
}

func (g *gateway) currentInstance() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instance
}

// running reports whether the process runs. g.mu must be held.
func (g *gateway) running() bool {
	if g.cmd == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}
