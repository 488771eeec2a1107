package rosedaemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// State is the state of a proxy, for operators.
type State struct {
	Name     rosemary.ProxyID
	Zone     rosemary.Zone
	Ready    bool
	Draining bool
	Callers  int
	Bundle   BundleState
	Groups   []GroupState
	Peers    []PeerState
}

// BundleState describes the bundle in force.
type BundleState struct {
	Version uint64
	Digest  string
	Since   time.Time
	// LastError is why the last bundle seen was refused.
	LastError string `json:"Refused,omitempty"`
}

// GroupState is the state of a database's group.
type GroupState struct {
	Database string
	Term     uint64
	Primary  rosemary.TargetID
	// Confirmed is the greatest log position that a quorum of targets is known
	// to hold.
	Confirmed string
	Targets   []TargetState
}

// TargetState is the state of a target as this proxy sees it.
type TargetState struct {
	ID        rosemary.TargetID
	Zone      rosemary.Zone
	Role      rosemary.Role
	Position  string
	Reachable bool
	Streaming bool
	Leaving   bool
	// AgeMs is the upper bound of the age of the target's data, or -1 if it is
	// unknown.
	AgeMs       int64
	Connections int
	InFlight    int
	Queued      int
	// Limit is the current adaptive limit of InFlight.
	Limit int
}

// PeerState is the state of another proxy as this one sees it.
type PeerState struct {
	Name  rosemary.ProxyID
	Zone  rosemary.Zone
	State string
	// Confirmed is set once the peer itself or another one has reported it.
	Confirmed bool `json:"Proven"`
	// Version is that of the bundle in force at the peer.
	Version uint64
}

// Admin returns the handler of the admin interface: health, metrics, state, and
// the requests to move a primary or drain the proxy.
func (d *Daemon) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.State()) })
	mux.HandleFunc("POST /primary/move", d.serveMovePrimary)
	mux.HandleFunc("POST /drain", d.serveDrain)
	return mux
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready: no bundle in force, or shutting down", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.metrics.Set().WritePrometheus(w)
	d.gauges().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// gauges returns the metrics that are computed for each scrape.
func (d *Daemon) gauges() *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, value float64) { set.NewGauge(name, func() float64 { return value }) }
	state := d.State()
	gauge("rosemary_callers", float64(state.Callers))
	gauge("rosemary_bundle_version", float64(state.Bundle.Version))
	for _, g := range state.Groups {
		gauge(`rosemary_group_term{database="`+g.Database+`"}`, float64(g.Term))
		for _, t := range g.Targets {
			labels := `{database="` + g.Database + `",target="` + string(t.ID) + `"}`
			gauge("rosemary_target_connections"+labels, float64(t.Connections))
			gauge("rosemary_target_in_flight"+labels, float64(t.InFlight))
			gauge("rosemary_target_queued"+labels, float64(t.Queued))
			gauge("rosemary_target_in_flight_limit"+labels, float64(t.Limit))
			gauge("rosemary_target_age_seconds"+labels, float64(t.AgeMs)/1000)
		}
	}
	sent := d.mesh.SentTraffic()
	gauge("rosemary_peer_messages_sent", float64(sent.Messages))
	gauge("rosemary_peer_bytes_sent", float64(sent.Bytes))
	return set
}

func (d *Daemon) serveMovePrimary(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	primary, err := d.MovePrimary(r.Context(), query.Get("database"), rosemary.TargetID(query.Get("target")))
	if err != nil {
		http.Error(w, trace.UserMessage(err), trace.ErrorToCode(err))
		return
	}
	writeJSON(w, struct{ Primary rosemary.TargetID }{primary})
}

func (d *Daemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	d.drainOnce.Do(func() { close(d.DrainRequested) })
	writeJSON(w, struct{ Draining bool }{true})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// State returns the current state of the proxy.
func (d *Daemon) State() State {
	manifest, since := d.updater.Current()
	state := State{
		Name:     d.config.Name,
		Zone:     d.config.Zone,
		Ready:    d.Ready(),
		Draining: d.server.Draining(),
		Callers:  d.server.ClientCount(),
		Bundle:   BundleState{Version: manifest.Version, Digest: manifest.Digest(), Since: since},
	}
	if err := d.updater.LastError(); err != nil {
		state.Bundle.LastError = trace.UserMessage(err)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, database := range d.content.Databases {
		if b := d.backends[database.Name]; b != nil {
			state.Groups = append(state.Groups, b.state(d.content.Leaving))
		}
	}
	for _, p := range d.mesh.View() {
		state.Peers = append(state.Peers, PeerState{p.Proxy, p.Zone, p.State, p.Confirmed, p.BundleVersion})
	}
	return state
}

func (b *backend) state(leaving func(rosemary.TargetID) bool) GroupState {
	view, _ := b.monitor.View()
	state := GroupState{Database: b.database.Name, Term: view.Term, Confirmed: view.Confirmed.String()}
	if view.HasPrimary {
		state.Primary = view.Primary.ID
	}
	for _, t := range view.Targets {
		state.Targets = append(state.Targets, b.targetState(t, leaving(t.ID)))
	}
	return state
}

func (b *backend) targetState(t rosegroup.TargetView, leaving bool) TargetState {
	load := b.queues[t.ID].Load()
	state := TargetState{
		ID:          t.ID,
		Zone:        t.Zone,
		Role:        t.Status.Role,
		Position:    t.Status.Position.String(),
		Reachable:   t.Seen && !t.Reachability.Down(),
		Streaming:   t.Status.Streaming,
		Leaving:     leaving || t.Status.Leaving,
		AgeMs:       -1,
		Connections: b.pools[t.ID].OpenCount(),
		InFlight:    load.InFlight,
		Queued:      load.Queued,
		Limit:       load.Limit,
	}
	if t.AgeKnown {
		state.AgeMs = t.Age.Milliseconds()
	}
	return state
}
