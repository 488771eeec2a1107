package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its deletion, as the store's API spells it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. It is linearizable and keeps its
// whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]storeLease
	changed  chan struct{}
	// staleness is the age of what reads with allow_stale see, and past the contents since then.
	staleness time.Duration
	past      []contents
}

// contents are what the store held from a time on.
type contents struct {
	since    time.Time
	revision int64
	items    map[string]item
}

// staleItems returns what a read with allow_stale sees. The lock must be held.
func (s *store) staleItems() (map[string]item, int64) {
	for len(s.past) > 1 && time.Since(s.past[1].since) >= s.staleness {
		s.past = s.past[1:]
	}
	if s.staleness == 0 || len(s.past) == 0 {
		return s.items, s.revision
	}
	return s.past[0].items, s.past[0].revision
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[int64]storeLease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

// end ends a lease. The lock must be held.
func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *store) notify() {
	if s.staleness > 0 {
		s.past = append(s.past, contents{time.Now(), s.revision, maps.Clone(s.items)})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key at the current revision. The lock must be held.
func (s *store) put(key string, value []byte, lease int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.CreateRev
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

// remove deletes a key at the current revision. The lock must be held.
func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

// putJSON writes a key as the operator or a backend does.
func (s *store) putJSON(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, text, 0)
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// get returns the value of a key.
func (s *store) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// serve serves the store's API.
func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /api/kv-lease", s.serveLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveEnd)
	_ = (&http.Server{Handler: mux}).Serve(listener)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	all, revision := s.items, s.revision
	if q.Get("allow_stale") == "1" {
		all, revision = s.staleItems()
	}
	for key, i := range all {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, map[string]any{"items": items, "has_more": false, "at": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect  []item   `json:"expect"`
		Writes  []item   `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, x := range body.Expect {
				items = append(items, s.items[x.Key])
			}
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
			return
		}
	}
	for _, i := range body.Writes {
		if _, found := s.leases[i.Lease]; i.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, i := range body.Writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	reply(w, map[string]int64{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = storeLease{ttl, time.Now().Add(ttl)}
	reply(w, map[string]int64{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(_ http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
}
