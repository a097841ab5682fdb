package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/feed"
	"github.com/hollowgrade/hollowgrade/internal/errs"
	"github.com/hollowgrade/hollowgrade/quarantine"
)

// holdStore keeps requests that are held in the platform's store, where the loss of all gateways
// leaves them.
type holdStore struct {
	table *quarantine.Table
	topic hollowgrade.Topic
	clock hollowgrade.Clock
	log   *log.Logger
	store *feed.Breaker // what this process knows of its way to the store
	// unused counts records of the store that could not be used.
	unused *atomic.Int64
}

const (
	// keepEvery is how often it is looked for what the store has to be told. A loss of all gateways within that
	// time after a verdict leaves the request to be found out anew.
	keepEvery = 200 * time.Millisecond
	// keepTimeout bounds one write.
	keepTimeout = 2 * time.Second
)

// heldRecord is a request that is held, as it stands in the store under its fingerprint.
type heldRecord struct {
	Organisation string                 `json:"organisation"`
	Route        string                 `json:"route"`
	Service      string                 `json:"service"`
	Since        int64                  `json:"since"` // Unix ms
	Until        int64                  `json:"until"` // Unix ms
	Losses       int                    `json:"losses"`
	Odds         float64                `json:"odds"`
	Upstreams    []hollowgrade.Instance `json:"upstreams"`
	By           string                 `json:"by"`
}

// encodeHold encodes a record. Its moments are written as times of day.
func encodeHold(h quarantine.Block, now, wall time.Time) ([]byte, error) {
	ms := func(t time.Time) int64 { return wall.Add(t.Sub(now)).UnixMilli() }
	return json.Marshal(heldRecord{h.Organisation, h.Route, h.Service, ms(h.Since), ms(h.Until), h.Losses, h.Odds, h.Upstreams, h.By})
}

// decodeHold decodes a record. Its moments are of the time of day and are put on this process's clock, on which
// it is now.
func decodeHold(key string, v []byte, now, wall time.Time) (h quarantine.Block, err error) {
	defer errs.Annotate(&err, "decode the held request %s", key)
	f, err := hollowgrade.ParseFingerprint(key)
	if err != nil {
		return h, err
	}
	var r heldRecord
	if err = json.Unmarshal(v, &r); err != nil {
		return h, err
	}
	if r.Since <= 0 || r.Until <= r.Since || r.Losses <= 0 {
		return h, errors.New("since, until or losses is missing")
	}
	on := func(ms int64) time.Time { return now.Add(time.UnixMilli(ms).Sub(wall)) }
	return quarantine.Block{
		Subject:   quarantine.Subject{Fingerprint: f, Organisation: r.Organisation, Route: r.Route, Service: r.Service},
		Since:     on(r.Since),
		Until:     on(r.Until),
		Losses:    r.Losses,
		Odds:      r.Odds,
		Upstreams: r.Upstreams,
		By:        r.By,
	}, nil
}

// run writes what has to be written until ctx ends.
func (s *holdStore) run(ctx context.Context) {
	for hollowgrade.Sleep(ctx, s.clock, keepEvery) {
		todo := s.table.StoreChanges()
		if len(todo.Save)+len(todo.Drop) == 0 {
			continue
		}
		// While the store is away one call of a process tries at a time, and few of all: each of a
		// hundred gateways would try each second.
		try, wait := s.store.Begin()
		if wait > 0 {
			continue
		}
		err := s.keep(ctx, todo)
		s.store.Report(try, err == nil || ctx.Err() != nil)
		if err != nil && ctx.Err() == nil {
			s.log.Warn("held requests not written to the store", "err", err)
		}
	}
}

// keep tells the store what it has to be told. It stops at the first failure.
func (s *holdStore) keep(ctx context.Context, todo quarantine.StoreChanges) (err error) {
	for _, h := range todo.Save {
		v, err := encodeHold(h, s.clock.Now(), hollowgrade.WallTime(s.clock))
		if err != nil {
			return err
		}
		if err = s.put(ctx, h.Fingerprint, v); err != nil {
			return err
		}
		s.table.RecordStored(h)
	}
	for _, f := range todo.Drop {
		if err = s.put(ctx, f, nil); err != nil {
			return err
		}
		s.table.RecordDropped(f)
	}
	return nil
}

func (s *holdStore) put(ctx context.Context, f hollowgrade.Fingerprint, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return s.topic.Put(ctx, f.String(), value)
}

// take takes changes of the topic. What cannot be read holds nothing, and leaves the others.
func (s *holdStore) take(cs []feed.Change) {
	now, wall := s.clock.Now(), hollowgrade.WallTime(s.clock)
	for _, c := range cs {
		if c.Dropped() {
			if f, err := hollowgrade.ParseFingerprint(c.Key); err == nil {
				s.table.RecordDropped(f)
			}
			continue
		}
		h, err := decodeHold(c.Key, c.Value, now, wall)
		if err != nil {
			s.unused.Add(1)
			s.log.Error("held request not used", "key", fmt.Sprintf("%.64q", c.Key), "offset", c.Offset, "err", err)
			continue
		}
		s.table.RecordStored(h)
	}
}

// The paths of the operators' listener for requests that are held.
const (
	QuarantinePath = "/quarantine"
	liftPath       = QuarantinePath + "/{fingerprint}"
)

// HeldRequest is a request that is held, as operators are told.
type HeldRequest struct {
	Fingerprint  string                 `json:"fingerprint"`
	Organisation string                 `json:"organisation"`
	Route        string                 `json:"route"`
	Service      string                 `json:"service"`
	Since        time.Time              `json:"since"`
	Until        time.Time              `json:"until"`
	Losses       int                    `json:"losses"`    // in a row
	Odds         float64                `json:"odds"`      // of these for a harmless request
	Upstreams    []hollowgrade.Instance `json:"upstreams"` // that ended, the latest last
	By           string                 `json:"by"`        // gateway that reached the verdict
}

// serve serves operators' questions about requests that are held.
func (s *holdStore) serve(r *mux.Router) {
	r.HandleFunc(QuarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		hs := []HeldRequest{}
		now, wall := s.clock.Now(), hollowgrade.WallTime(s.clock)
		day := func(t time.Time) time.Time { return wall.Add(t.Sub(now)) }
		for _, h := range s.table.Blocks() {
			hs = append(hs, HeldRequest{h.Fingerprint.String(), h.Organisation, h.Route, h.Service, day(h.Since), day(h.Until), h.Losses, h.Odds, h.Upstreams, h.By})
		}
		writeJSON(w, hs)
	}).Methods(http.MethodGet)
	r.HandleFunc(liftPath, func(w http.ResponseWriter, q *http.Request) {
		f, err := hollowgrade.ParseFingerprint(mux.Vars(q)["fingerprint"])
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		case !s.table.Lift(f):
			http.Error(w, "no such request is held", http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}).Methods(http.MethodDelete)
}
