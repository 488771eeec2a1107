package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rosemarywell/rosemarywell/platform/rosestandin"
)

// site is the platform's side of a deployment: its store, its promoter, and one service.
type site struct {
	record *record
	store  *rosestandin.Store
	group  *group

	mu sync.Mutex
	// lists are when each proxy last read the list of backends.
	lists map[string]time.Time
	// sequence is that of the last entry of a backend.
	sequence int
}

func newSite(record *record, syncReplicas int) *site {
	s := &site{
		record: record, store: rosestandin.NewStore(), group: newGroup("svc-1", syncReplicas, record),
		lists: make(map[string]time.Time),
	}
	return s
}

// configure writes the operator's configuration.
func (s *site) configure() {
	s.store.Put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "records", "prefix": "/", "type": "primary", "timeout_ms": 800, "slo_ms": 250, "priority": 1,
			"service": s.group.name, "max_staleness_ms": 0, "attempts": 2,
		}},
		"services": []map[string]any{{"name": s.group.name, "max_conns": 50, "sync_replicas": s.group.syncReplicas}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
}

// register writes the entry of a backend.
func (s *site) register(b *backend, state string) {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	s.group.mu.Lock()
	role := "replica"
	if b.primary {
		role = "primary"
	}
	s.group.mu.Unlock()
	s.store.Put("servers/"+b.id, map[string]any{
		"service": s.group.name, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": 5,
		"state": state, "cold_left_ms": 0, "db_role": role, "seq": sequence,
	})
	s.record.write("entry", "backend", b.id, "state", state)
}

// expire removes the entry of a backend.
func (s *site) expire(b *backend) {
	s.store.Delete("servers/" + b.id)
	s.record.write("entry removed", "backend", b.id)
}

// serveStore serves the store to one proxy, and returns the address.
func (s *site) serveStore(proxy string) string {
	handler := s.store.Handler()
	return serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.URL.Path == "/api/kv-range" && strings.HasPrefix(r.URL.Query().Get("prefix"), "servers/") {
			s.mu.Lock()
			s.lists[proxy] = time.Now()
			s.mu.Unlock()
		}
	}))
}

// lastList returns when a proxy last read the list of backends.
func (s *site) lastList(proxy string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[proxy]
}

// servePromoter serves the calls for promotions, and returns the address.
func (s *site) servePromoter() string {
	return serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		accepted := body.Service == s.group.name && s.group.promote(body.ID)
		s.record.write("promotion ordered", "backend", body.ID, "holder", r.Header.Get("X-Lease-Holder"), "token", r.Header.Get("X-Fencing-Token"), "accepted", accepted)
		if !accepted {
			w.WriteHeader(http.StatusConflict)
		}
	}))
}

// holder returns the proxy that holds the lock of the service, by what the product keeps in the
// store; empty if there is none.
func (s *site) holder(address string) string {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get("http://" + address + "/api/kv-range?prefix=")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var body struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return ""
	}
	for _, i := range body.Items {
		var lock struct{ Proxy string }
		if strings.HasSuffix(i.Key, "Duties/"+s.group.name) && json.Unmarshal(i.Value, &lock) == nil {
			return lock.Proxy
		}
	}
	return ""
}

func serveHTTP(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}
