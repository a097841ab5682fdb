package stand

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// pageSize is how many records one answer with newest records has at most.
const pageSize = 500

// Store is the platform's store in its form as a log, with topics that keep the newest record of each
// key.
type Store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
}

// entry is one record. Its offset is its position in the topic.
type entry struct {
	key   string
	value []byte
}

// NewStore starts a store on a free port.
func NewStore() (s *Store, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &Store{addr: l.Addr().String(), topics: map[string][]entry{}, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/log-append", s.append)
	m.HandleFunc("GET /v1/log-read", s.read)
	m.HandleFunc("GET /v1/log-newest", s.newest)
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns host and port.
func (s *Store) Addr() string {
	return s.addr
}

// Close stops the store.
func (s *Store) Close() {
	_ = s.server.Close()
}

// Put writes a record. An empty value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutJSON writes a record with a value encoded as JSON.
func (s *Store) PutJSON(topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // a mistake in the case
	}
	s.Put(topic, key, b)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	if err != nil || r.URL.Query().Get("part") != "0" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "keyed.servers" || name == "keyed.op" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	first := len(s.topics[name])
	s.mu.Unlock()
	for len(b) >= 5 {
		n := int(binary.BigEndian.Uint32(b))
		rec := b[4 : 4+n]
		k := int(rec[0])
		s.Put(name, string(rec[1:1+k]), append([]byte(nil), rec[1+k:]...))
		b = b[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, map[string]int{"offset": first, "end": len(s.topics[name])})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		es, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from > len(es) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			fmt.Fprintf(w, `{"first":%d}`, len(es))
			return
		}
		if from < len(es) {
			_, _ = w.Write(encode(es, from))
			return
		}
		select {
		case <-changed:
		case <-until:
			_, _ = w.Write(encode(es, from))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encode encodes the records from an offset on as an answer to a read.
func encode(es []entry, from int) (b []byte) {
	b = binary.BigEndian.AppendUint64(b, uint64(len(es)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, e := range es[from:] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(e.key)+len(e.value)))
		b = append(append(append(b, byte(len(e.key))), e.key...), e.value...)
	}
	return b
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	es := s.topics[q.Get("topic")]
	s.mu.Unlock()
	last := map[string]int{}
	for i, e := range es {
		last[e.key] = i
		if len(e.value) == 0 {
			delete(last, e.key)
		}
	}
	var ks []string
	for k := range last {
		if k > q.Get("sinceRev") {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	more := len(ks) > pageSize
	items := []map[string]any{}
	for _, k := range ks[:min(len(ks), pageSize)] {
		items = append(items, map[string]any{"tlsKey": k, "value": base64.StdEncoding.EncodeToString(es[last[k]].value), "offset": last[k]})
	}
	reply(w, map[string]any{"items": items, "more": more, "end": len(es)})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller is gone
}
