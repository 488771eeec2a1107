package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or an event of its history if deleted.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store. Each proxy has an address of its own, at which it
// may be turned away with 503.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
	// refused are the proxies that are turned away; renewed and listed are when each last renewed
	// its lease and read the backends.
	refused map[string]bool
	renewed map[string]time.Time
	listed  map[string]time.Time
}

func newStore(r *record) *store {
	s := &store{
		record: r, revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		refused: map[string]bool{}, renewed: map[string]time.Time{}, listed: map[string]time.Time{}, lastID: 1000,
	}
	go s.expire()
	return s
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().Before(l.ends) {
				continue
			}
			delete(s.leases, id)
			for key, it := range s.items {
				if it.Lease == id {
					s.remove(key)
					s.record.add("store: lease %d ends, %s removed", id, key)
				}
			}
		}
		s.mu.Unlock()
	}
}

// write and remove change a key; the lock must be held.
func (s *store) write(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a backend does.
func (s *store) put(key string, value any) {
	body, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, body, 0)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.remove(key)
	}
}

// refuse has the store turn a proxy away, or serve it again.
func (s *store) refuse(proxy string, refused bool) {
	s.record.add("store: turns %s away: %v", proxy, refused)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[proxy] = refused
}

func (s *store) turnsAway(proxy string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[proxy]
}

// holder returns the proxy whose lock key of a group is in the store.
func (s *store) holder(group string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, it := range s.items {
		if strings.HasSuffix(key, "Duties/"+group) {
			var v struct{ Proxy string }
			_ = json.Unmarshal(it.Value, &v)
			return v.Proxy
		}
	}
	return ""
}

// renewedAt returns when a proxy's lease was last renewed.
func (s *store) renewedAt(proxy string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed[proxy]
}

// serve serves one proxy at an address of its own.
func (s *store) serve(proxy string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", func(w http.ResponseWriter, r *http.Request) { s.list(proxy, w, r) })
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(proxy, w, r) })
	mux.HandleFunc("POST /api/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.txn(proxy, w, r) })
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) { s.keep(proxy, w, r) })
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.turnsAway(proxy) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return l.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, found := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, at})
}

// listedAt returns when a proxy last read the list of backends.
func (s *store) listedAt(proxy string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed[proxy]
}

func (s *store) list(proxy string, w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	s.mu.Lock()
	if prefix == "servers/" {
		s.listed[proxy] = time.Now()
	}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) watch(proxy string, w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if s.turnsAway(proxy) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(proxy string, w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
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
			for _, e := range body.Expect {
				if it, found := s.items[e.Key]; found {
					items = append(items, it)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, x := range body.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, x := range body.Writes {
		s.write(x.Key, x.Value, x.Lease)
		s.record.add("store: %s writes %s, revision %d", proxy, x.Key, s.revision)
	}
	for _, key := range body.Deletes {
		if _, found := s.items[key]; found {
			s.remove(key)
			s.record.add("store: %s deletes %s, revision %d", proxy, key, s.revision)
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(proxy string, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	s.renewed[proxy] = time.Now()
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.ends = time.Now()
	}
	reply(w, http.StatusOK, map[string]any{})
}
