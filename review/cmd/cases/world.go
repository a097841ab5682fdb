package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hollowgrade/hollowgrade/review/stand"
)

// world is the small deployment of a case: a store, the workers of one service, and gateways.
type world struct {
	record   *stand.Record
	store    *stand.Store
	workers  []*stand.Worker
	gateways []*stand.Gateway
	trouble  string // what TROUBLE asks for; "0" for none
	dir      string // temporary folder with settings and logs
	binary   string

	version  int
	attempts atomic.Int64
	mu       sync.Mutex
	sent     []stand.Sent
}

const (
	service      = "push-gw"
	heartbeat    = 1200 * time.Millisecond
	readyTimeout = 15 * time.Second
)

// The routes of the deployment, by path prefix. Work and times are within those of the site.
const (
	receiptPath = "/receipt/"     // unsafe, 450 ms of work
	pingPath    = "/ping/"        // safe, 60 ms of work
	streamPath  = "/review/"      // a stream of 1.8 s
	longPath    = "/review/long/" // a stream of 7 s
)

func newWorld(binary, record string) (w *world, err error) {
	w = &world{trouble: os.Getenv("TROUBLE"), binary: binary}
	if w.record, err = stand.NewRecord(record); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "hollowgrade-review-"); err != nil {
		return nil, err
	}
	if w.store, err = stand.NewStore(); err != nil {
		return nil, err
	}
	return w, nil
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.record.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and stand-ins. The logs of the gateways stay if KEEP is set.
func (w *world) close() {
	for _, g := range w.gateways {
		g.Kill()
	}
	for _, k := range w.workers {
		k.Close()
	}
	w.store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("settings and logs are in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// writeConfig writes the next version of the configuration with the keys of the tenant.
func (w *world) writeConfig(keys ...string) {
	w.version++
	route := func(name, path, kind, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","pathPrefix":%q,"kind":%q,"service":%q,"priority":1,%s}`, name, path, kind, service, more)
	}
	rs := []string{
		route("send-receipt", receiptPath, "unsafe", `"timeoutMs":4000,"goalLatencyMs":300,"maxAttempts":1`),
		route("open-ping", pingPath, "safe", `"timeoutMs":4000,"goalLatencyMs":300,"maxAttempts":2`),
		route("archive-review", streamPath, "streaming", `"timeoutMs":15000,"goalLatencyMs":3000,"gap_aim_ms":800,"resumable":true,"maxAttempts":2`),
	}
	w.store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],
"services":[{"name":%q,"healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"shop","apiKeys":["%s"]}]}`, w.version, strings.Join(rs, ","), service, strings.Join(keys, `","`))))
	w.record.Add("operator  wrote version %d with keys %v", w.version, keys)
}

// work returns how a worker answers a path.
func work(path string) (events int, pause time.Duration) {
	switch {
	case strings.HasPrefix(path, receiptPath):
		return 0, 450 * time.Millisecond
	case strings.HasPrefix(path, longPath):
		return 14, 500 * time.Millisecond
	case strings.HasPrefix(path, streamPath):
		return 18, 100 * time.Millisecond
	default:
		return 0, 60 * time.Millisecond
	}
}

// startWorkers starts workers, which write their entries at each heartbeat.
func (w *world) startWorkers(n int) error {
	for i := range n {
		k, err := stand.NewWorker(fmt.Sprintf("i-%08x", 0xa1b2c300+i), service, w.record, work)
		if err != nil {
			return err
		}
		w.workers = append(w.workers, k)
		w.store.PutJSON("keyed.servers", k.ID, k.Entry())
	}
	return nil
}

// prepareGateways prepares gateways on free ports.
func (w *world) prepareGateways(n int) error {
	for i := range n {
		g, err := stand.NewGateway(fmt.Sprintf("edge-%d", i+1), w.binary, w.dir, w.record)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// startGateways starts the gateways with their settings and waits until they are ready.
func (w *world) startGateways(settings func(i int) stand.Settings) error {
	for i, g := range w.gateways {
		if err := g.WriteSettings(settings(i)); err != nil {
			return err
		}
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if !g.Ready(readyTimeout) {
			return errors.New(g.Name + " did not become ready")
		}
	}
	return nil
}

// plainSettings returns settings of a gateway with direct links to the store and to its peers.
func (w *world) plainSettings(int) stand.Settings {
	var seeds []string
	for _, g := range w.gateways {
		seeds = append(seeds, g.Peers)
	}
	return stand.Settings{Store: w.store.Addr(), Seeds: seeds, StrictRevoke: true}
}

// nextID returns the id of a new attempt.
func (w *world) nextID() string {
	return fmt.Sprintf("%016x", 0x5eed000000000000+uint64(w.attempts.Add(1)))
}

func (w *world) addSent(s stand.Sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, s)
}

// allSent returns all attempts that have ended.
func (w *world) allSent() []stand.Sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]stand.Sent(nil), w.sent...)
}

// allRuns returns what the workers have run, by the id of the attempt.
func (w *world) allRuns() map[string]stand.Run {
	rs := map[string]stand.Run{}
	for _, k := range w.workers {
		for _, r := range k.Runs() {
			rs[r.ID] = r
		}
	}
	return rs
}
