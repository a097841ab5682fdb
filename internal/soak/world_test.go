package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hollowgrade/hollowgrade/platform/platformtest"
)

// worldSize is the number of processes and stand-ins in a world.
type worldSize struct {
	gateways, workers, callers int
	eraless                    bool // whether the store tells no era
	pipedLogs                  bool // whether gateways write their logs to pipes
	endless                    bool // whether workers send answers without end
	bare                       bool // whether their failures have no id and signature
}

const (
	streamEvents  = 12 // in each stream
	permanentKeys = 3  // keys that are never revoked
	totalKeys     = 40 // keys in all
	// narrowLinkBytesPerSecond is the rate of some gateways' links, 20 Mbit/s. A configuration with
	// maxFillerRoutes has 0.6 MB, which takes a quarter of a second at this rate.
	narrowLinkBytesPerSecond = 20e6 / 8
	fillerRoutesPerStep      = 1400
	maxFillerRoutes          = 4200
	wideLinkEvery            = 3 // one in so many gateways has a link without a limit
	minServedGateways        = 2 // gateways that keep their link to the store while those of others are silenced
	turnAwayInterval         = 400 * time.Millisecond
	narrowLinkMbits          = 20
)

// gateway is one real process, with the proxies through which it reaches the store and peers reach
// it.
type gateway struct {
	mu             sync.Mutex
	name           string
	config         string
	callersAddress string
	readyAddress   string
	store          *proxy
	peers          *proxy // through which peers reach it
	index          int
	cmd            *exec.Cmd // nil until the first start
	exited         chan struct{}
	instance       int

	suspended time.Duration // total; the process reads it from a file
	asked     bool          // whether the process got a signal that ends it
	logStart  int64         // size of its log when the process started
	log       *logPipe      // nil if the process writes to a file

	work     sync.Mutex // held during planned stops
	settings string     // content of its file without the grace
}

// worker is a stand-in worker behind a proxy; the registry has the proxy's address.
type worker struct {
	*platformtest.Worker
	proxy     *proxy
	service   string
	startTime time.Time // of a later instance with the same id
}

// world is the environment of a run.
type world struct {
	t         testing.TB
	binary    string
	logs      string
	pipedLogs bool
	endless   bool
	bare      bool
	store     *platformtest.Store
	gateways  []*gateway

	mu             sync.Mutex
	history        *history
	workers        []*worker
	workersStarted int // for the ids of workers
	version        int
	keys           []string
	routes         []string // paths of the added routes
	filler         int      // number of further routes, which no caller uses
	limits         limits
	idleLimits     []idleLimit
	limitsChanged  chan struct{} // closed by the next change
	signals        map[string]signal
	allFullBut     string               // id of the only plain worker that is not full, empty if none is
	engineBusy     map[string]time.Time // until when an engine prefills, by id
	crashes        sync.WaitGroup       // pending crashes and restarts of workers
}

func newWorld(t testing.TB, binary string, z worldSize) *world {
	t.Helper()
	w := &world{t: t, binary: binary, store: platformtest.NewStore(), history: newHistory(), signals: map[string]signal{}, engineBusy: map[string]time.Time{}, limits: initialLimits, limitsChanged: make(chan struct{}), pipedLogs: z.pipedLogs, endless: z.endless, bare: z.bare}
	t.Cleanup(w.store.Close)
	if z.eraless {
		w.store.HideEra()
	}
	w.logs = filepath.Join(os.TempDir(), "hollowgrade-soak", fmt.Sprint(os.Getpid(), "-", time.Now().UnixNano()))
	require.NoError(t, os.MkdirAll(w.logs, 0o755))
	for i := range totalKeys {
		w.keys = append(w.keys, fmt.Sprint("key-", i))
	}
	w.writeConfig()
	for range z.workers {
		w.addWorker(plainService)
	}
	for range longEngines {
		w.addWorker(longService)
	}
	var seeds []string
	for i := range z.gateways {
		w.gateways = append(w.gateways, w.newGateway(i, &seeds))
	}
	for _, g := range w.gateways {
		w.start(g)
	}
	return w
}

// writeConfig writes a new version of the configuration. w.mu must be held, unless the world isn't
// shared yet.
func (w *world) writeConfig() {
	w.version++
	var routes []string
	route := func(path, more string) {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h","pathPrefix":%q,"timeoutMs":4000,"goalLatencyMs":300,"service":"s",%s}`, path, path, more))
	}
	route("/once/", `"kind":"unsafe","maxAttempts":2`)
	route("/again/", `"kind":"safe","maxAttempts":2`)
	route("/stream/", `"kind":"streaming","resumable":true,"gap_aim_ms":200,"maxAttempts":3`)
	routes = append(routes, longRoute, slowRoute, pacedRoute)
	for _, p := range w.routes {
		route(p, `"kind":"safe","maxAttempts":2`)
	}
	for i := range w.filler {
		route(fmt.Sprintf("/filler-%x/", hash(fmt.Sprint(i))), `"kind":"safe","maxAttempts":2`)
	}
	w.store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s"},%s],
 "limits":%s,
 "tenants":[{"name":"o","apiKeys":["%s"]}]}`, w.version, strings.Join(routes, ","), longServiceRecord, w.limits, strings.Join(w.keys, `","`))))
	w.recordConfig()
}

// addWorker starts a worker of a service and registers it.
func (w *world) addWorker(service string) {
	id := fmt.Sprint("i-", w.workersStarted)
	w.workersStarted++
	k := &worker{Worker: platformtest.NewWorker(id, w.behave), service: service}
	k.proxy = newProxy(w.t, k.Address())
	w.workers = append(w.workers, k)
	w.register(k, "ready")
}

func (w *world) register(k *worker, state string) {
	r := k.Record(k.service, state)
	r["address"] = k.proxy.address()
	if !k.startTime.IsZero() {
		r["born"] = k.startTime.UnixMilli()
	}
	w.store.PutJSON("keyed.servers", k.ID, r)
}

// behave answers a request according to a hash of its id, so that the load of a seed meets the same
// failures in each run.
func (w *world) behave(k *platformtest.Worker, c net.Conn, r *http.Request) {
	if isReportRequest(k, r) {
		platformtest.Answer(http.StatusOK, `{"pace":1}`)(k, c, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	draw := drawOf(k.ID, id)
	body := ""
	for i, q := range k.Requests() {
		if q == r {
			body = k.Bodies()[i]
		}
	}
	w.mu.Lock()
	refuses := w.signals[k.ID].retryLater || w.isFull(k.ID)
	w.history.runs = append(w.history.runs, run{
		id: id, worker: k.ID, path: r.URL.Path, body: body, organisation: r.Header.Get("Tenant"), at: time.Now(),
		refused: refuses || draw < 3 && !strings.HasPrefix(id, harmfulPrefix) || r.Header.Get("Expect-Instance") != k.ID, keyForwarded: r.Header.Get("Authorization") != "",
	})
	w.mu.Unlock()
	switch {
	case r.Header.Get("Expect-Instance") != k.ID:
		platformtest.Misdirected(k, c, r)
	case refuses:
		w.recordSignal(platformtest.Shed)(k, c, r)
	case strings.HasPrefix(id, harmfulPrefix):
		time.Sleep(crashDelay)
		w.crashAsync(k, restartMode(draw%uint64(restartModes)))
	case draw < 3:
		w.recordSignal(platformtest.Shed)(k, c, r)
	case draw < 5:
		platformtest.Reset(k, c, r)
	case draw < 7:
		w.fail(id)(k, c, r)
	case draw < 8:
		w.neverAnswer(k, c, r)
	default:
		w.prefill(k, r)
		time.Sleep(time.Duration(draw) * time.Millisecond)
		w.recordSignal(answer(id, draw))(k, c, r)
	}
}

// draws is the number of values that decide on the behaviour to a request. Those of the failures are the least.
const draws = 100

// drawOf returns the draw of a request at a worker. Workers don't fail with slow and paced streams.
func drawOf(worker, id string) uint64 {
	if strings.HasPrefix(id, slowPrefix) || strings.HasPrefix(id, pacedPrefix) {
		return draws - 1
	}
	return hash(worker+id) % draws
}

func answer(id string, draw uint64) platformtest.Behaviour {
	switch {
	case strings.HasPrefix(id, slowPrefix):
		return platformtest.PacedStream(streamEvents, slowPause)
	case strings.HasPrefix(id, pacedPrefix):
		return platformtest.PacedStream(streamEvents, pacedPause)
	case !strings.HasPrefix(id, "stream") && !strings.HasPrefix(id, longPrefix):
		return platformtest.Answer(http.StatusOK, "answer to "+id)
	case draw < 20:
		return platformtest.Stream(streamEvents, int(draw)-7)
	default:
		return platformtest.Stream(streamEvents, 0)
	}
}

// recordFault records a fault, so that bounds in time aren't checked while it is in effect.
func (w *world) recordFault(k kind, gateway int, from, to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.spans = append(w.history.spans, span{k, gateway, from, to})
}

// storeModes has the modes of the faults that the store makes by itself.
var storeModes = map[kind]platformtest.Mode{busyStore: platformtest.Busy, awayStore: platformtest.Unavailable, loseAnswers: platformtest.LosingAnswers}

// apply executes one step and returns when it is over.
func (w *world) apply(s step) {
	from := time.Now()
	i := s.target % len(w.gateways)
	g := w.gateways[i]
	// The recorded fault includes the time of the recovery: a process starts, a view is read again.
	if s.kind == suspendGateway {
		s.duration += suspendExtraTime
	}
	over := from.Add(s.duration + 2*time.Second)
	if s.kind == turnAway {
		over = over.Add(time.Duration(len(w.gateways)) * turnAwayInterval)
	}
	if s.kind == restoreStore {
		w.recordFault(s.kind, i, from, over.Add(maxRewriteDelay))
		w.restoreStore(s)
		return
	}
	if s.kind == silenceConnections {
		w.silenceConnections(s)
		return
	}
	w.recordFault(s.kind, i, from, over)
	switch s.kind {
	case killGateway, pauseGateway, suspendGateway, stopGateway, reloadGateway, signalSeries, pausedSeries, changeGrace, squeezeGateway, loseLog, stopUnderStreams, silenceSound:
		w.applyToProcess(g, s)
	case silenceStore:
		w.setModeFor(g.store, silence, s.duration)
	case resetStore:
		g.store.reset()
	case turnAway:
		w.silenceInTurn(s)
	case silencePeers:
		w.setModeFor(g.peers, silence, s.duration)
	case resetPeers:
		g.peers.reset()
	case delayPeers:
		w.setModeFor(g.peers, delay, s.duration)
	case busyStore, awayStore, loseAnswers:
		w.setStoreMode(storeModes[s.kind], s.duration)
	case compactStore:
		w.store.Compact("keyed.op")
		w.store.Compact("keyed.servers")
	default:
		w.applyToWorkers(s)
	}
}

// applyToProcess executes a step that affects a gateway's process.
func (w *world) applyToProcess(g *gateway, s step) {
	switch s.kind {
	case killGateway:
		<-g.signal(syscall.SIGKILL)
		time.Sleep(s.duration)
		w.start(g)
	case pauseGateway:
		g.signal(syscall.SIGSTOP)
		time.Sleep(s.duration)
		g.signal(syscall.SIGCONT)
	case suspendGateway:
		w.suspend(g, s.duration)
	case stopGateway:
		w.stop(g)
	case reloadGateway:
		w.reload(g)
	case signalSeries, pausedSeries:
		w.stopInSeries(g, s)
	case changeGrace:
		w.stopWithOtherGrace(g, s)
	case stopUnderStreams:
		w.stopUnderStreams(g, s)
	case silenceSound:
		w.silenceSound(g, s)
	case squeezeGateway:
		w.squeeze(g, s)
	case loseLog:
		w.loseLog(g, s)
	}
}

// suspendedFileEnv names the file from which a process built with the soak tag reads how long its
// machine was suspended.
const suspendedFileEnv = "HOLLOWGRADE_SUSPENDED"

// suspendExtraTime is added to the duration of suspensions, so that keys which are revoked
// meanwhile have to be refused when the machine resumes.
const suspendExtraTime = 4 * time.Second

// suspendedPath returns the path of the gateway's file for suspendedFileEnv.
func (g *gateway) suspendedPath() string {
	return g.config + ".suspended"
}

// suspend simulates a suspension of the gateway's machine.
func (w *world) suspend(g *gateway, d time.Duration) {
	start := time.Now()
	g.signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.mu.Lock()
	g.suspended += time.Since(start)
	part := g.suspendedPath() + ".part" // renaming makes the write atomic
	err := errors.Join(os.WriteFile(part, []byte(g.suspended.String()), 0o600), os.Rename(part, g.suspendedPath()))
	g.mu.Unlock()
	if err != nil {
		w.t.Errorf("suspend %s: %v", g.name, err)
	}
	g.signal(syscall.SIGCONT)
}

// stop stops a gateway as the platform does, SIGTERM and after stopGrace SIGKILL, and restarts it.
func (w *world) stop(g *gateway) {
	g.work.Lock()
	defer g.work.Unlock()
	w.awaitEnd(w.beginStop(g, stopGateway, stopGrace), stopGrace)
	w.start(g)
}

func (w *world) setModeFor(p *proxy, y linkMode, d time.Duration) {
	p.set(y)
	time.Sleep(d)
	p.set(pass)
}

// silenceInTurn silences the links of all gateways but two to the store, one after another, so that
// the gateways that take over as readers lose the store too.
func (w *world) silenceInTurn(s step) {
	var g sync.WaitGroup
	for i := range w.gateways[minServedGateways:] {
		x := w.gateways[(s.target+i)%len(w.gateways)]
		g.Go(func() {
			time.Sleep(time.Duration(i) * turnAwayInterval)
			w.setModeFor(x.store, silence, s.duration)
		})
	}
	g.Wait()
}

func (w *world) setStoreMode(m platformtest.Mode, d time.Duration) {
	w.store.SetMode(m)
	time.Sleep(d)
	w.store.SetMode(platformtest.Serving)
}

func (w *world) applyToWorkers(s step) {
	switch s.kind {
	case harmfulRequest:
		w.sendHarmful(s)
		return
	case strangeEntries:
		w.addInvalidEntries(s)
		return
	case changeLimits:
		w.changeLimits(s)
		return
	case isolateGateway:
		w.isolate(s)
		return
	case loseEntry:
		w.loseEntry(rand.New(rand.NewPCG(uint64(s.target), 11)), w.worker(s.target))
		return
	}
	k := w.worker(s.target)
	if k == nil {
		return // harmful requests have crashed all of them
	}
	w.recordLinkFault(k, s)
	switch s.kind {
	case delayWorker:
		w.setModeFor(k.proxy, delay, s.duration)
	case resetWorker:
		k.proxy.reset()
	case silenceWorker:
		w.setModeFor(k.proxy, silence, s.duration)
	case deafenWorker:
		w.setModeFor(k.proxy, deafen, s.duration)
	case crashWorker:
		w.replace(k)
		w.end(k)
		time.Sleep(s.duration)
		w.store.Put("keyed.servers", k.ID, nil)
	case drainWorker:
		w.replace(k)
		w.register(k, "draining")
		w.mu.Lock()
		w.history.leavingSince[k.ID] = time.Now()
		w.mu.Unlock()
		time.Sleep(maxDrainDelay + s.duration)
		w.store.Put("keyed.servers", k.ID, nil)
		time.Sleep(stopGrace) // its requests finish
		w.end(k)
	case nameLimit, leaveInAnswers, askForRest:
		w.announce(k, s)
	case revokeKey, addRoute, growConfig:
		w.changeConfig(s)
	}
}

// replace removes a worker that leaves or crashes and adds a new one.
func (w *world) replace(k *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers = slices.DeleteFunc(w.workers, func(x *worker) bool { return x == k })
	w.addWorker(k.service)
}

// changeConfig writes a new version of the configuration.
func (w *world) changeConfig(s step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	revoked, added := "", ""
	if s.kind == revokeKey && len(w.keys) > permanentKeys {
		i := permanentKeys + s.target%(len(w.keys)-permanentKeys)
		revoked = w.keys[i]
		w.keys = slices.Delete(w.keys, i, i+1)
	} else {
		added = fmt.Sprintf("/added-%d/", w.version)
		w.routes = append(w.routes, added)
	}
	if s.kind == growConfig {
		w.filler = min(w.filler+fillerRoutesPerStep, maxFillerRoutes)
	}
	w.writeConfig()
	if revoked != "" {
		w.history.revoked[revoked] = time.Now()
	} else {
		w.history.added[added] = time.Now()
	}
}

// resumeGateways resumes paused gateways and starts those that are down.
func (w *world) resumeGateways() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
		w.start(g)
	}
}

// close stops all processes and workers.
func (w *world) close() {
	for _, g := range w.gateways {
		<-g.signal(syscall.SIGKILL)
	}
	w.crashes.Wait()
	w.mu.Lock()
	ks := slices.Clone(w.workers)
	w.mu.Unlock()
	for _, k := range ks {
		k.Close() // waits for pending answers, which need w.mu
	}
}
