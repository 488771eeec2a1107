// Package rosekv simulates two of the platform's services: the key-value store,
// over the JSON gateway protocol of etcd, and the list of VMs. It can be made
// unresponsive or slow, drop responses, and serve stale reads.
package rosekv

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// progressInterval is the interval between the empty messages that keep a watch
// alive.
const progressInterval = 5 * time.Second

// Server is the simulated platform. Its methods may be called concurrently.
type Server struct {
	http *http.Server

	mu sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	values  map[string]versionedValue
	// staleValues is returned by reads while staleReads is set.
	staleValues    map[string]versionedValue
	revision       int64
	calls          map[string]int
	members        []rosemary.Member
	pendingMembers []membersUpdate
	membersLag     time.Duration

	down          bool
	dropResponses bool
	staleReads    bool
	delay         time.Duration
}

type versionedValue struct {
	value    []byte
	revision int64
}

// membersUpdate is a new list of VMs, served once it is older than membersLag.
type membersUpdate struct {
	at      time.Time
	members []rosemary.Member
}

// NewServer returns a server without keys and VMs. Changes of the VM list become
// visible after membersLag.
func NewServer(membersLag time.Duration) *Server {
	s := &Server{
		changed:     make(chan struct{}),
		values:      make(map[string]versionedValue),
		staleValues: make(map[string]versionedValue),
		calls:       make(map[string]int),
		membersLag:  membersLag,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	mux.HandleFunc("POST /v3/kv/txn", s.handleTxn)
	mux.HandleFunc("POST /v3/watch", s.handleWatch)
	mux.HandleFunc("GET /vms", s.handleMembers)
	s.http = &http.Server{Handler: mux}
	return s
}

// Serve serves calls until Close.
func (s *Server) Serve(listener net.Listener) { _ = s.http.Serve(listener) }

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetDown makes calls hang, and watches silent, until the server is up again.
func (s *Server) SetDown(down bool) { s.update(func() { s.down = down }) }

// SetDropResponses makes transactions take effect without a response.
func (s *Server) SetDropResponses(drop bool) { s.update(func() { s.dropResponses = drop }) }

// SetStaleReads makes reads of keys return the values as of this call. Watches and
// transactions still use the current ones.
func (s *Server) SetStaleReads(stale bool) {
	s.update(func() {
		s.staleReads = stale
		s.staleValues = make(map[string]versionedValue)
		for k, v := range s.values {
			s.staleValues[k] = v
		}
	})
}

// SetDelay delays every later call.
func (s *Server) SetDelay(delay time.Duration) { s.update(func() { s.delay = delay }) }

// SetMembers changes the list of VMs. Clients see it after the delay given to
// NewServer.
func (s *Server) SetMembers(members []rosemary.Member) {
	s.update(func() { s.pendingMembers = append(s.pendingMembers, membersUpdate{time.Now(), members}) })
}

// PublishMembers makes pending changes of the VM list visible at once.
func (s *Server) PublishMembers() {
	s.update(func() {
		for i := range s.pendingMembers {
			s.pendingMembers[i].at = time.Time{}
		}
	})
}

// CallCounts returns the number of calls by endpoint.
func (s *Server) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int)
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notifyWaiters()
}

// notifyWaiters wakes the calls and watches that wait for a change. The lock must
// be held.
func (s *Server) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// startCall counts a call and waits for the injected delay and while the server is
// down. It reports false if the client cancels the call.
func (s *Server) startCall(ctx context.Context, call string) bool {
	s.mu.Lock()
	s.calls[call]++
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return false
		}
	}
	for {
		s.mu.Lock()
		down, changed := s.down, s.changed
		s.mu.Unlock()
		if !down {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// gatewayKV is a key in etcd's JSON, which encodes 64-bit integers as strings.
type gatewayKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision string `json:"mod_revision,omitempty"`
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var request gatewayKV
	if !decode(w, r, &request) || !s.startCall(r.Context(), "range") {
		return
	}
	s.mu.Lock()
	values := s.values
	if s.staleReads {
		values = s.staleValues
	}
	found, ok := values[string(request.Key)]
	s.mu.Unlock()
	kvs := []gatewayKV{}
	if ok {
		kvs = append(kvs, gatewayKV{request.Key, found.value, strconv.FormatInt(found.revision, 10)})
	}
	writeJSON(w, struct {
		KVs []gatewayKV `json:"kvs"`
	}{kvs})
}

// txnBody is the supported part of an etcd transaction: puts, on condition that
// some keys have the given revisions. The revision of a missing key is 0.
type txnBody struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision string `json:"mod_revision"`
	} `json:"compare"`
	Success []struct {
		RequestPut *gatewayKV `json:"request_put"`
	} `json:"success"`
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request txnBody
	if !decode(w, r, &request) || !s.startCall(r.Context(), "txn") {
		return
	}
	s.mu.Lock()
	succeeded := true
	for _, c := range request.Compare {
		succeeded = succeeded && strconv.FormatInt(s.values[string(c.Key)].revision, 10) == c.ModRevision
	}
	if succeeded {
		s.revision++
		for _, op := range request.Success {
			if op.RequestPut != nil {
				s.values[string(op.RequestPut.Key)] = versionedValue{op.RequestPut.Value, s.revision}
			}
		}
		s.notifyWaiters()
	}
	drop := s.dropResponses
	s.mu.Unlock()
	if drop {
		<-r.Context().Done()
		return
	}
	writeJSON(w, struct {
		Succeeded bool `json:"succeeded"`
	}{succeeded})
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		CreateRequest gatewayKV `json:"create_request"`
	}
	if !decode(w, r, &request) || !s.startCall(r.Context(), "watch") {
		return
	}
	key := string(request.CreateRequest.Key)
	s.mu.Lock()
	sentRevision := s.values[key].revision
	s.mu.Unlock()
	flusher, _ := w.(http.Flusher)
	writeEvents(w, nil)
	flusher.Flush()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		s.mu.Lock()
		current, changed, down := s.values[key], s.changed, s.down
		s.mu.Unlock()
		if current.revision > sentRevision && !down {
			sentRevision = current.revision
			writeEvents(w, &gatewayKV{[]byte(key), current.value, strconv.FormatInt(current.revision, 10)})
			flusher.Flush()
		}
		select {
		case <-changed:
		case <-progress.C:
			if !down {
				writeEvents(w, nil)
				flusher.Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}

// watchEvent is a put. Its type is empty, as etcd omits the default.
type watchEvent struct {
	Type string    `json:"type,omitempty"`
	KV   gatewayKV `json:"kv"`
}

type watchResult struct {
	Events []watchEvent `json:"events,omitempty"`
}

// writeEvents writes a message of a watch, with an event if kv isn't nil.
func writeEvents(w http.ResponseWriter, kv *gatewayKV) {
	var message struct {
		Result watchResult `json:"result"`
	}
	if kv != nil {
		message.Result.Events = []watchEvent{{KV: *kv}}
	}
	_ = json.NewEncoder(w).Encode(message)
}

// member is an entry of the VM list.
type member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

func (s *Server) handleMembers(w http.ResponseWriter, r *http.Request) {
	if !s.startCall(r.Context(), "vms") {
		return
	}
	s.mu.Lock()
	for len(s.pendingMembers) > 0 && time.Since(s.pendingMembers[0].at) >= s.membersLag {
		s.members = s.pendingMembers[0].members
		s.pendingMembers = s.pendingMembers[1:]
	}
	list := make([]member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, member{string(m.Proxy), string(m.Zone), m.Address, m.Leaving})
	}
	s.mu.Unlock()
	writeJSON(w, list)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	const maxBodyBytes = 4 << 20
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
