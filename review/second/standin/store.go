// Package standin has the stand-ins of the second review: the platform's store, workers, clients, a
// proxy, and gateways as processes. They do what the users' pages allow and use the standard library
// only.
package standin

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageKeys is how many keys one page of newest records holds.
const pageKeys = 500

type storeRecord struct {
	key    string
	value  []byte
	offset int64
}

type storeTopic struct {
	records []storeRecord
	newest  map[string]storeRecord
}

// Store is a stand-in of the platform's store with its keyed topics.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	topics  map[string]*storeTopic
	changed chan struct{}
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, topics: map[string]*storeTopic{}, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/log-read", s.read)
	m.HandleFunc("GET /v1/log-newest", s.readNewest)
	m.HandleFunc("POST /v1/log-append", s.append)
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns host and port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a record and returns when the store has taken it. An empty value drops the key.
func (s *Store) Put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(topic, key, value)
	return time.Now()
}

// PutJSON writes a record with a value encoded as JSON.
func (s *Store) PutJSON(topic, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // a mistake in the case
	}
	return s.Put(topic, key, b)
}

func (s *Store) topic(name string) *storeTopic {
	t, ok := s.topics[name]
	if !ok {
		t = &storeTopic{newest: map[string]storeRecord{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) put(name, key string, value []byte) {
	t := s.topic(name)
	r := storeRecord{key: key, value: value, offset: int64(len(t.records))}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	switch {
	case err != nil || !strings.HasPrefix(name, "keyed."):
		w.WriteHeader(http.StatusBadRequest)
		return
	case name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(name).records)
	for len(b) > 4 {
		n := int(binary.BigEndian.Uint32(b))
		rec := b[4 : 4+n]
		k := int(rec[0])
		s.put(name, string(rec[1:1+k]), append([]byte(nil), rec[1+k:]...))
		b = b[4+n:]
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, len(s.topic(name).records))
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs")) // 0 if the call names none
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		b, found, changed := s.since(q.Get("topic"), from)
		if found || ctx.Err() != nil {
			_, _ = w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) since(name string, from int64) (b []byte, found bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	b = binary.BigEndian.AppendUint64(b, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < end; i++ {
		r := t.records[i]
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(append(b, r.key...), r.value...)
		found = true
	}
	return b, found, s.changed
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var ks []string
	for k := range t.newest {
		if k > q.Get("sinceRev") {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	more := len(ks) > pageKeys
	ks = ks[:min(len(ks), pageKeys)]
	items := []map[string]any{}
	for _, k := range ks {
		v := t.newest[k]
		items = append(items, map[string]any{"tlsKey": k, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": len(t.records)})
}
