package standin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds are those that the settings of a deployment name.
type Bounds struct {
	Revoke, Apply, Grace, Drain time.Duration
}

// SmallBounds are the bounds of the site sbn-push.
var SmallBounds = Bounds{Revoke: 5 * time.Second, Apply: 2 * time.Second, Grace: 8 * time.Second, Drain: 2 * time.Second}

// freePorts are the next ports of this run's own loopback address, by which runs beside each other do not
// meet. They lie outside of the range from which the system takes ports of outgoing connections.
var freePorts atomic.Int32

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress() string {
	const (
		firstPort = 12_000
		byteSize  = 256
	)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid/(byteSize*byteSize)%byteSize/2, pid/byteSize%byteSize, 1+pid%(byteSize-2), firstPort+int(freePorts.Add(1)))
}

// Gateway is one process of the product.
type Gateway struct {
	Name      string
	Callers   string
	Readiness string
	Peers     string
	operators string
	config    string
	logPath   string
	cmd       *exec.Cmd
	exited    chan struct{}
}

// NewGateway prepares a gateway with the settings that the template lays out for the site sbn-push. It is
// started with Start.
func NewGateway(dir, name, hall, store string, seeds []string, b Bounds) (*Gateway, error) {
	g := &Gateway{Name: name, Callers: FreeAddress(), Readiness: FreeAddress(), Peers: FreeAddress(), operators: FreeAddress(),
		config: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log")}
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	text := fmt.Sprintf(`role = "gateway"
box = %q
hall = %q
region = "hcm"
callers = %q
readiness = %q
peers = %q
operators = %q
seeds = ["%s"]
store = %q
link_mbps = 1000.0
max_descriptors = 4100
memory_mb = 284
key_freshness = %q
freshness = %q
grace = "%ds"
retry_ratio = 0.2
retry_slack = 106.0
retry_window = "10s"
caller_stall = "1500ms"
leave_within = %q
long_wait = true
`, name, hall, g.Callers, g.Readiness, g.Peers, g.operators, strings.Join(append(seeds, g.Peers), `", "`), store,
		ms(b.Revoke), ms(b.Apply), int(b.Grace.Seconds()), ms(b.Drain))
	return g, os.WriteFile(g.config, []byte(text), 0o600)
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start(binary string) error {
	out, err := os.Create(g.logPath)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(binary, "gateway", "--config", g.config)
	c.Stdout, c.Stderr = out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err = c.Start(); err != nil {
		return err
	}
	g.cmd, g.exited = c, make(chan struct{})
	go func() {
		_ = c.Wait()
		close(g.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// Kill ends the process and waits for that.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// Log returns what the process has written.
func (g *Gateway) Log() string {
	b, _ := os.ReadFile(g.logPath)
	return string(b)
}

// Ready reports whether the process says that it is ready.
func (g *Gateway) Ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + g.Readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the process says that it is ready.
func (g *Gateway) AwaitReady(ctx context.Context) error {
	for !g.Ready() {
		select {
		case <-g.exited:
			return fmt.Errorf("%s has ended: %s", g.Name, tail(g.Log()))
		default:
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return fmt.Errorf("%s does not get ready: %s", g.Name, tail(g.Log()))
		}
	}
	return nil
}

// tail returns the end of a log.
func tail(s string) string {
	const maxBytes = 6000
	return s[max(len(s)-maxBytes, 0):]
}
