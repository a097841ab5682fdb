package stand

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings are the values that differ between gateways. The rest is what deploy/gateway.toml makes of
// the bounds of the site sbn-push.
type Settings struct {
	Store        string
	Seeds        []string
	StrictRevoke bool
	Announce     string        // peer address that the others are told; empty for its own
	Grace        time.Duration // graceS; 0 for that of the site
}

// siteGrace is graceS of the site.
const siteGrace = 8 * time.Second

// Gateway is one gateway on a box of its own, as a process of the built program.
type Gateway struct {
	Name      string
	Callers   string
	Readiness string
	Peers     string
	settings  Settings
	laidOut   int // how often the settings file was written
	file      string
	binary    string
	record    *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	state  string // how the last process ended
}

// The ports of gateways lie below those that the system takes for outgoing connections, or one of these
// could hold the port of a gateway that starts again.
const (
	firstPort = 12_000
	ports     = 20_000
	portTries = 100
)

// FreePort returns a loopback address with a free port.
func FreePort() (address string, err error) {
	for range portTries {
		address = fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(ports))
		l, e := net.Listen("tcp", address)
		if e == nil {
			return address, l.Close()
		}
		err = e
	}
	return "", err
}

// NewGateway prepares a gateway whose settings file and log lie in dir.
func NewGateway(name, binary, dir string, r *Record) (g *Gateway, err error) {
	g = &Gateway{Name: name, binary: binary, file: filepath.Join(dir, name+".toml"), record: r}
	for _, a := range []*string{&g.Callers, &g.Readiness, &g.Peers} {
		if *a, err = FreePort(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// WriteSettings lays out the settings file as the template of the deploy file does.
func (g *Gateway) WriteSettings(s Settings) error {
	g.settings = s
	outage := ""
	if !s.StrictRevoke {
		outage = "key_outage = \"10m\"\n"
	}
	g.laidOut++
	text := fmt.Sprintf(`# Settings of a gateway, filled by the platform at each start and change, for the %d. time.
role = "gateway"
box = %q
hall = "z1"
region = "r1"
callers = %q
readiness = %q
peers = %q
operators = "127.0.0.1:0"
seeds = ["%s"]
store = %q
link_mbps = 1000.0
memory_mb = 284
key_freshness = "5000ms"
%sfreshness = "2000ms"
grace = "%ds"
retry_ratio = 0.2
retry_slack = 106
retry_window = "10s"
caller_stall = "1500ms"
leave_within = "2000ms"
long_wait = true
`, g.laidOut, g.Name, g.Callers, g.Readiness, g.Peers, strings.Join(s.Seeds, `", "`), s.Store, outage, int(cmp.Or(s.Grace, siteGrace).Seconds()))
	if s.Announce != "" {
		text += fmt.Sprintf("announce = %q\n", s.Announce)
	}
	next := g.file + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.file)
}

// RewriteSettings lays out the settings file anew with the same values.
func (g *Gateway) RewriteSettings() error {
	return g.WriteSettings(g.settings)
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(strings.TrimSuffix(g.file, ".toml")+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(g.binary, "gateway", "--config", g.file)
	c.Stdout, c.Stderr = log, log
	if err = c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.cmd, g.exited = c, done
	g.record.Add("started   %s", g.Name)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		g.mu.Lock()
		g.state = c.ProcessState.String()
		g.mu.Unlock()
		g.record.Add("ended     %s: %s", g.Name, c.ProcessState)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Add("signal    %s: %s", g.Name, s)
	if err := g.cmd.Process.Signal(s); err != nil {
		g.record.Add("signal    %s: %s not sent: %v", g.Name, s, err)
	}
}

// AwaitExit waits for the end of the process and returns how it ended, or false if it runs on.
func (g *Gateway) AwaitExit(d time.Duration) (state string, ended bool) {
	g.mu.Lock()
	done := g.exited
	g.mu.Unlock()
	select {
	case <-done:
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.state, true
	case <-time.After(d):
		return "", false
	}
}

// Kill ends the process if it runs.
func (g *Gateway) Kill() {
	g.mu.Lock()
	c, done := g.cmd, g.exited
	g.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	_ = c.Process.Kill()
	<-done
}

// Ready waits until the gateway answers the readiness check with 200.
func (g *Gateway) Ready(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.DialTimeout("tcp", g.Readiness, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(c, "GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
		b := make([]byte, 12)
		n, _ := c.Read(b)
		_ = c.Close()
		if string(b[:n]) == "HTTP/1.1 200" {
			return true
		}
	}
	return false
}
