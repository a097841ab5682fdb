package node

import (
	"cmp"
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

// heldStore keeps blocked requests in the platform's store, where they survive the loss of all
// gateways.
type heldStore struct {
	table   *quarantine.Table
	topic   hollowgrade.Topic
	clock   hollowgrade.Clock
	log     *log.Logger
	breaker *feed.Breaker
	// unused counts records of the store that could not be used.
	unused *atomic.Int64
}

const (
	// storeInterval is the interval between checks for changes to write. If all gateways are lost
	// within that time after a verdict, the request has to be identified anew.
	storeInterval = 200 * time.Millisecond
	// storeTimeout bounds one write.
	storeTimeout = 2 * time.Second
)

// heldRecord is a blocked request, or a blocked part of prompts, as stored under the text of its
// suspect. A gateway that knows no parts doesn't use the record of one, since its key is no
// fingerprint.
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
	With         []string               `json:"with,omitempty"` // ids of parts
}

// encodeBlock encodes a record. Its times are converted from this process's clock, on which it is
// now, to wall time.
func encodeBlock(h quarantine.Block, now, wall time.Time) ([]byte, error) {
	ms := func(t time.Time) int64 { return wall.Add(t.Sub(now)).UnixMilli() }
	return json.Marshal(heldRecord{h.Organisation, h.Route, h.Service, ms(h.Since), ms(h.Until), h.Losses, h.Odds, h.Upstreams, h.By, partNames(h.With)})
}

// decodeBlock decodes a record. Its times are converted from wall time to this process's clock, on
// which it is now.
func decodeBlock(key string, v []byte, now, wall time.Time) (h quarantine.Block, err error) {
	defer errs.Annotate(&err, "decode the held request %s", key)
	s, err := quarantine.ParseSuspect(key)
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
	with, err := parseParts(r.With)
	if err != nil {
		return h, err
	}
	onClock := func(ms int64) time.Time { return now.Add(time.UnixMilli(ms).Sub(wall)) }
	return quarantine.Block{
		Subject:   quarantine.Subject{Kind: s.Kind, Fingerprint: s.Fingerprint, Organisation: r.Organisation, Route: r.Route, Service: cmp.Or(s.Service, r.Service)},
		With:      with,
		Since:     onClock(r.Since),
		Until:     onClock(r.Until),
		Losses:    r.Losses,
		Odds:      r.Odds,
		Upstreams: r.Upstreams,
		By:        r.By,
	}, nil
}

// partNames returns the ids of parts as callers write them.
func partNames(ps []hollowgrade.PartID) (names []string) {
	for _, p := range ps {
		names = append(names, p.String())
	}
	return names
}

func parseParts(names []string) (ps []hollowgrade.PartID, err error) {
	for _, n := range names {
		p, err := hollowgrade.ParsePartID(n)
		if err != nil {
			return nil, err
		}
		ps = append(ps, p)
	}
	return ps, nil
}

// run writes changes to the store until ctx ends.
func (s *heldStore) run(ctx context.Context) {
	for hollowgrade.Sleep(ctx, s.clock, storeInterval) {
		changes := s.table.StoreChanges()
		if len(changes.Save)+len(changes.Drop) == 0 {
			continue
		}
		// While the store is unavailable, the breaker lets a process try one call at a time, and few
		// processes try: otherwise each of a hundred gateways would try each second.
		try, wait := s.breaker.Begin()
		if wait > 0 {
			continue
		}
		err := s.write(ctx, changes)
		s.breaker.Report(try, err == nil || ctx.Err() != nil)
		if err != nil && ctx.Err() == nil {
			s.log.Warn("held requests not written to the store", "err", err)
		}
	}
}

// write writes changes to the store. It stops at the first failure.
func (s *heldStore) write(ctx context.Context, changes quarantine.StoreChanges) (err error) {
	for _, h := range changes.Save {
		v, err := encodeBlock(h, s.clock.Now(), hollowgrade.WallTime(s.clock))
		if err != nil {
			return err
		}
		if err = s.put(ctx, h.Suspect(), v); err != nil {
			return err
		}
		s.table.RecordStored(h)
	}
	for _, x := range changes.Drop {
		if err = s.put(ctx, x, nil); err != nil {
			return err
		}
		s.table.RecordDropped(x)
	}
	return nil
}

func (s *heldStore) put(ctx context.Context, x quarantine.Suspect, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.topic.Put(ctx, x.String(), value)
}

// storeReturned writes the blocks again that the store lost.
func (s *heldStore) storeReturned(kept func(key string) bool) {
	s.table.StoreReturned(func(x quarantine.Suspect) bool { return kept(x.String()) })
}

// apply applies changes of the topic. A record that cannot be decoded is skipped.
func (s *heldStore) apply(cs []feed.Change) {
	now, wall := s.clock.Now(), hollowgrade.WallTime(s.clock)
	for _, c := range cs {
		if c.Dropped() {
			if x, err := quarantine.ParseSuspect(c.Key); err == nil {
				s.table.RecordDropped(x)
			}
			continue
		}
		h, err := decodeBlock(c.Key, c.Value, now, wall)
		if err != nil {
			s.unused.Add(1)
			s.log.Error("held request not used", "key", fmt.Sprintf("%.64q", c.Key), "offset", c.Offset, "err", err)
			continue
		}
		s.table.RecordStored(h)
	}
}

// The paths of the operators' listener for blocked requests.
const (
	QuarantinePath = "/quarantine"
	liftPath       = QuarantinePath + "/{suspect}"
)

// HeldRequest is a blocked request, or a blocked part of prompts, as shown to operators.
type HeldRequest struct {
	Kind         string                 `json:"kind"`        // request or part
	Fingerprint  string                 `json:"fingerprint"` // of a request; part:ID@SERVICE for a part
	With         []string               `json:"with"`        // ids of the parts that a prompt must have beside it
	Organisation string                 `json:"organisation"`
	Route        string                 `json:"route"`
	Service      string                 `json:"service"`
	Since        time.Time              `json:"since"`
	Until        time.Time              `json:"until"`
	Losses       int                    `json:"losses"`    // in a row
	Odds         float64                `json:"odds"`      // probability of as many losses with a harmless request
	Upstreams    []hollowgrade.Instance `json:"upstreams"` // that crashed, the latest last
	By           string                 `json:"by"`        // gateway that reached the verdict
}

// serve registers the handlers that list and lift blocks.
func (s *heldStore) serve(r *mux.Router) {
	r.HandleFunc(QuarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		hs := []HeldRequest{}
		now, wall := s.clock.Now(), hollowgrade.WallTime(s.clock)
		wallTime := func(t time.Time) time.Time { return wall.Add(t.Sub(now)) }
		for _, h := range s.table.Blocks() {
			hs = append(hs, HeldRequest{h.Kind.String(), h.Suspect().String(), partNames(h.With), h.Organisation, h.Route, h.Service, wallTime(h.Since), wallTime(h.Until), h.Losses, h.Odds, h.Upstreams, h.By})
		}
		writeJSON(w, hs)
	}).Methods(http.MethodGet)
	r.HandleFunc(liftPath, func(w http.ResponseWriter, q *http.Request) {
		x, err := quarantine.ParseSuspect(mux.Vars(q)["suspect"])
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		case !s.table.Lift(x):
			http.Error(w, "no such request is held", http.StatusNotFound)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}).Methods(http.MethodDelete)
}
