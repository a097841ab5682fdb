package standin

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The names of a world's host, services and key.
const (
	Host        = "ficu95.example"
	Key         = "n2ctnfzs989anu6wsjnb"
	TenantName  = "hule930"
	EngineName  = "huvo11a"
	PlainName   = "wuno96b"
	PlainName2  = "wuno97c"
	CopyPath    = "/lohu930/"
	ArchivePath = "/pufi791/"
	UnsafePath  = "/puxa403/"
	SafePath    = "/puxa404/"
)

// Config is the configuration that the operator writes.
type Config struct {
	Version int
	Unsafe  string // service of the unsafe route
	Idle    time.Duration
	Keys    []string
}

// JSON returns the configuration as it lies in the store.
func (c Config) JSON() map[string]any {
	stream := func(name, path string, timeout, goal, pause int) map[string]any {
		return map[string]any{"name": name, "host": Host, "pathPrefix": path, "kind": "streaming", "timeoutMs": timeout, "goalLatencyMs": goal, "priority": 1,
			"service": EngineName, "maxAttempts": 2, "public": false, "stickySessions": true, "resumable": true, "gap_aim_ms": pause}
	}
	plain := func(name, path, kind, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": Host, "pathPrefix": path, "kind": kind, "timeoutMs": 2000, "goalLatencyMs": 300, "priority": 2, "service": service, "maxAttempts": attempts, "public": false}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
	}
	engine := service(EngineName)
	engine["maxConns"] = 434
	engine["engine"] = map[string]any{"slots": 16, "kvCapacityTokens": 450000, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917,
		"chunk": 2048, "stride": 46, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 13239, "answer": 1540}, "hop_ms": 0.1}
	return map[string]any{
		"version": c.Version,
		"routes": []any{stream("copy", CopyPath, 10000, 300, 200), stream("archive", ArchivePath, 15000, 3000, 800),
			plain("send", UnsafePath, "unsafe", c.Unsafe, 1), plain("ping", SafePath, "safe", PlainName, 2)},
		"services": []any{engine, service(PlainName), service(PlainName2)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": c.Idle.Milliseconds()},
		"tenants":  []any{map[string]any{"name": TenantName, "apiKeys": c.Keys}},
	}
}

// FirstConfig returns the first configuration.
func FirstConfig() Config {
	return Config{Version: 7, Unsafe: PlainName, Idle: 15 * time.Second, Keys: []string{Key}}
}

// World is the platform of a case with its gateways and workers.
type World struct {
	Store    *Store
	Gateways []*Gateway
	Workers  []*Worker
	Proxies  []*Proxy // between gateways and the store, by gateway
	Log      *Record
	Binary   string
	dir      string
}

// NewWorld starts a store that has the first configuration.
func NewWorld(binary string, log *Record) (*World, error) {
	d, err := os.MkdirTemp("", "hollowgrade-review-")
	if err != nil {
		return nil, err
	}
	s, err := NewStore()
	if err != nil {
		return nil, err
	}
	s.PutJSON("keyed.op", "config", FirstConfig().JSON())
	return &World{Store: s, Log: log, Binary: binary, dir: d}, nil
}

// Dir returns the world's temporary folder.
func (w *World) Dir() string { return w.dir }

// AddWorker starts and registers a worker.
func (w *World) AddWorker(k *Worker, err error) error {
	if err == nil {
		w.Workers = append(w.Workers, k)
		k.Register(w.Store, "ready")
	}
	return err
}

// StartGateways starts gateways in the three halls of the site, each with a proxy to the store, and waits
// until all are ready.
func (w *World) StartGateways(ctx context.Context, n int, b Bounds) error {
	halls := []string{"hcm-tanthuan", "hcm-quang-trung", "hcm-thu-duc"}
	var seeds []string
	for i := range n {
		p, err := NewProxy(w.Store.Address())
		if err != nil {
			return err
		}
		w.Proxies = append(w.Proxies, p)
		h := halls[i%len(halls)]
		g, err := NewGateway(w.dir, fmt.Sprintf("edge-%s-%d", h, i+1), h, p.Address(), seeds, b)
		if err != nil {
			return err
		}
		if len(seeds) < 2 {
			seeds = append(seeds, g.Peers)
		}
		w.Gateways = append(w.Gateways, g)
		if err = g.Start(w.Binary); err != nil {
			return err
		}
		w.Log.Add("gateway %s started: callers %s", g.Name, g.Callers)
	}
	for _, g := range w.Gateways {
		if err := g.AwaitReady(ctx); err != nil {
			return err
		}
	}
	w.Log.Add("all %d gateways are ready", n)
	return nil
}

// StopGateways kills all gateways, so that others can be started.
func (w *World) StopGateways() {
	var g sync.WaitGroup
	for _, x := range w.Gateways {
		g.Go(x.Kill)
	}
	g.Wait()
	for _, p := range w.Proxies {
		p.Close()
	}
	w.Gateways, w.Proxies = nil, nil
}

// Close ends all processes and stand-ins. With keep it leaves the logs of the gateways.
func (w *World) Close(keep bool) {
	w.StopGateways()
	for _, k := range w.Workers {
		k.End()
	}
	w.Store.Close()
	if keep {
		fmt.Println("logs:", filepath.Join(w.dir, "*.log"))
		return
	}
	_ = os.RemoveAll(w.dir)
}

// StreamRequest returns a request for a stream on a path, of a small prompt.
func StreamRequest(path string, tokens int, deadline time.Duration) Request {
	own := ids.Add(1)
	return Request{Method: "POST", Host: Host, Path: path + "x", Key: Key, Deadline: deadline, Body: "prompt",
		Header: []string{"Model: m", fmt.Sprintf("Token-Usage: %d,400", tokens), fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%08x:%d", own, tokens-40), "Content-Type: application/json"}}
}

// UnsafeRequest returns a request that may run once.
func UnsafeRequest() Request {
	return Request{Method: "POST", Host: Host, Path: UnsafePath + "2f", Key: Key, Deadline: 4 * time.Second, Body: "receipt", Header: []string{"Content-Type: application/json"}}
}

// Sleep waits for d unless ctx ends before.
func Sleep(ctx context.Context, d time.Duration) bool { return sleep(ctx, d) }
