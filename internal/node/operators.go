package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/kernel"
)

// The paths of the operators' listener.
const (
	MetricsPath = "/metrics"
	LivePath    = "/healthz/live"
	ReadyPath   = "/healthz/ready"
	StatusPath  = "/status"
	ReportPath  = "/report"
)

// Status is a box's answer at [StatusPath].
type Status struct {
	Box         string           `json:"box"`
	Role        hollowgrade.Role `json:"role"`
	Hall        string           `json:"hall"`
	Incarnation string           `json:"incarnation"`
	Revision    int64            `json:"revision"`  // in force
	Next        int64            `json:"next"`      // first log offset that was not read
	LogAge      float64          `json:"log_age"`   // seconds since the end of the log was seen, -1 if never
	Ready       bool             `json:"ready"`     // whether it accepts work
	Reason      string           `json:"reason"`    // why it does not
	Evacuated   []string         `json:"evacuated"` // data halls whose upstreams get no calls
	StoreEra    int64            `json:"store_era"` // of the platform's store, 0 if unknown
	EraAge      float64          `json:"era_age"`   // seconds since it rose, -1 if it did not since the start
}

// ConfigState is the state of a process's configuration.
type ConfigState struct {
	Revision int64     // in force
	Next     int64     // first offset of the log or topic that was not read
	Fresh    time.Time // when the end was last seen; zero if never
	// Evacuated are the data halls whose upstreams get no calls.
	Evacuated []string
	StoreEra  int64     // of the platform's store; 0 if unknown
	EraSince  time.Time // when it rose; zero if it did not
}

// operatorsStopTimeout bounds how long a planned stop waits for operators' connections.
const operatorsStopTimeout = 500 * time.Millisecond

// operators serves operators' tools on a listener apart from callers'.
type operators struct {
	node     *Node
	ready    func() (bool, string)
	listener net.Listener
	server   *http.Server
}

func newOperators(address string, n *Node, ready func() (bool, string), more ...func(*mux.Router)) (o *operators, err error) {
	l, err := n.listen(address)
	if err != nil {
		return nil, err
	}
	o = &operators{node: n, ready: ready, listener: l}
	r := mux.NewRouter()
	r.Handle(MetricsPath, n.metrics.Handler())
	r.HandleFunc(LivePath, func(http.ResponseWriter, *http.Request) {})
	r.HandleFunc(ReadyPath, o.serveReady)
	r.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.status()) })
	r.HandleFunc(ReportPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.recorder.Snapshot()) })
	for _, m := range more {
		m(r)
	}
	o.server = newSideServer(r)
	return o, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (o *operators) address() string {
	return o.listener.Addr().String()
}

func (o *operators) status() Status {
	c := o.node.state()
	s := Status{
		Box:         o.node.Box.Name,
		Role:        o.node.Box.Role,
		Hall:        o.node.Box.Hall,
		Incarnation: o.node.Incarnation,
		Revision:    c.Revision,
		Next:        c.Next,
		LogAge:      -1,
		Evacuated:   c.Evacuated,
		StoreEra:    c.StoreEra,
		EraAge:      -1,
	}
	if !c.EraSince.IsZero() {
		s.EraAge = o.node.clock.Since(c.EraSince).Seconds()
	}
	if !c.Fresh.IsZero() {
		s.LogAge = o.node.clock.Since(c.Fresh).Seconds()
	}
	s.Ready, s.Reason = o.ready()
	return s
}

func (o *operators) serveReady(w http.ResponseWriter, _ *http.Request) {
	if ok, why := o.ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
	}
}

// Start implements [kernel.Service].
func (o *operators) Start(context.Context, *kernel.Kernel) error {
	go func() {
		if err := o.server.Serve(o.listener); !errors.Is(err, http.ErrServerClosed) {
			o.node.log.Error("operators' listener failed", "err", err)
		}
	}()
	return nil
}

// Stop implements [kernel.Service]. Connections that are in use after [operatorsStopTimeout] are closed.
func (o *operators) Stop(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, operatorsStopTimeout)
	defer cancel()
	if err := o.server.Shutdown(c); err != nil {
		o.node.log.Info("operators' connections closed", "why", "they were in use as the planned stop ended", "err", err)
		return o.server.Close()
	}
	return nil
}
