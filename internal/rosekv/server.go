// Package rosekv is a stand-in for the platform: its key-value service, by the
// published gateway protocol, and its list of VMs. It can be down, slow,
// forgetful of answers, or answer from the past.
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

// progressInterval separates the notes that keep a watch alive.
const progressInterval = 5 * time.Second

// Server is the stand-in platform. Its methods may be called concurrently.
type Server struct {
	http *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	values   map[string]versioned
	past     map[string]versioned
	revision int64
	calls    map[string]int
	members  []rosemary.Member
	listLag  []timedMembers
	lag      time.Duration

	down        bool
	loseAnswers bool
	fromPast    bool
	delay       time.Duration
}

type versioned struct {
	value    []byte
	revision int64
}

type timedMembers struct {
	at      time.Time
	members []rosemary.Member
}

// NewServer returns a platform without keys. The VM list lags by lag.
func NewServer(lag time.Duration) *Server {
	s := &Server{
		changed: make(chan struct{}),
		values:  make(map[string]versioned),
		past:    make(map[string]versioned),
		calls:   make(map[string]int),
		lag:     lag,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.handleRange)
	mux.HandleFunc("POST /v3/kv/txn", s.handleTxn)
	mux.HandleFunc("POST /v3/watch", s.handleWatch)
	mux.HandleFunc("GET /vms", s.handleMembers)
	s.http = &http.Server{Handler: mux}
	return s
}

// Serve answers calls from listener until Close.
func (s *Server) Serve(listener net.Listener) { _ = s.http.Serve(listener) }

// Close ends every call.
func (s *Server) Close() { _ = s.http.Close() }

// SetDown makes every call hang until its caller gives up.
func (s *Server) SetDown(down bool) { s.set(func() { s.down = down }) }

// SetDropResponses makes writes take effect without an answer.
func (s *Server) SetDropResponses(lose bool) { s.set(func() { s.loseAnswers = lose }) }

// SetStaleReads makes reads answer from the state at the time of the call.
func (s *Server) SetStaleReads(past bool) {
	s.set(func() {
		s.fromPast = past
		s.past = make(map[string]versioned)
		for k, v := range s.values {
			s.past[k] = v
		}
	})
}

// SetDelay makes every call take longer.
func (s *Server) SetDelay(delay time.Duration) { s.set(func() { s.delay = delay }) }

// SetMembers changes the list of VMs, which callers see after the lag.
func (s *Server) SetMembers(members []rosemary.Member) {
	s.set(func() { s.listLag = append(s.listLag, timedMembers{time.Now(), members}) })
}

// PublishMembers makes the list of VMs current at once.
func (s *Server) PublishMembers() {
	s.set(func() {
		for i := range s.listLag {
			s.listLag[i].at = time.Time{}
		}
	})
}

// CallCounts returns how often each call was made.
func (s *Server) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int)
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

func (s *Server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.wake()
}

// wake wakes everything that waits. The lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter counts a call and applies the faults. It reports false when the call
// is not to be answered.
func (s *Server) enter(ctx context.Context, call string) bool {
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

type gatewayKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision string `json:"mod_revision,omitempty"`
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var request gatewayKV
	if !decode(w, r, &request) || !s.enter(r.Context(), "range") {
		return
	}
	s.mu.Lock()
	values := s.values
	if s.fromPast {
		values = s.past
	}
	found, ok := values[string(request.Key)]
	s.mu.Unlock()
	kvs := []gatewayKV{}
	if ok {
		kvs = append(kvs, gatewayKV{request.Key, found.value, strconv.FormatInt(found.revision, 10)})
	}
	reply(w, struct {
		KVs []gatewayKV `json:"kvs"`
	}{kvs})
}

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
	if !decode(w, r, &request) || !s.enter(r.Context(), "txn") {
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
				s.values[string(op.RequestPut.Key)] = versioned{op.RequestPut.Value, s.revision}
			}
		}
		s.wake()
	}
	lose := s.loseAnswers
	s.mu.Unlock()
	if lose {
		<-r.Context().Done()
		return
	}
	reply(w, struct {
		Succeeded bool `json:"succeeded"`
	}{succeeded})
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		CreateRequest gatewayKV `json:"create_request"`
	}
	if !decode(w, r, &request) || !s.enter(r.Context(), "watch") {
		return
	}
	key := string(request.CreateRequest.Key)
	s.mu.Lock()
	sent := s.values[key].revision
	s.mu.Unlock()
	flusher, _ := w.(http.Flusher)
	writeEvents(w, nil)
	flusher.Flush()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		s.mu.Lock()
		now, changed, down := s.values[key], s.changed, s.down
		s.mu.Unlock()
		if now.revision > sent && !down {
			sent = now.revision
			writeEvents(w, &gatewayKV{[]byte(key), now.value, strconv.FormatInt(now.revision, 10)})
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

type event struct {
	Type string    `json:"type,omitempty"`
	KV   gatewayKV `json:"kv"`
}

type events struct {
	Events []event `json:"events,omitempty"`
}

func writeEvents(w http.ResponseWriter, kv *gatewayKV) {
	var message struct {
		Result events `json:"result"`
	}
	if kv != nil {
		message.Result.Events = []event{{KV: *kv}}
	}
	_ = json.NewEncoder(w).Encode(message)
}

// member is a VM as the platform's list writes it.
type member struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

func (s *Server) handleMembers(w http.ResponseWriter, r *http.Request) {
	if !s.enter(r.Context(), "vms") {
		return
	}
	s.mu.Lock()
	for len(s.listLag) > 0 && time.Since(s.listLag[0].at) >= s.lag {
		s.members = s.listLag[0].members
		s.listLag = s.listLag[1:]
	}
	list := make([]member, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, member{string(m.Proxy), string(m.Zone), m.Address, m.Leaving})
	}
	s.mu.Unlock()
	reply(w, list)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	const maxBody = 4 << 20
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into); err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
