package rosegroup

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Config configures a Monitor.
type Config struct {
	Group rosemary.Group
	// Controls holds one control connection for each target, which the monitor
	// uses to watch the target's status.
	Controls map[rosemary.TargetID]rosemary.TargetControl
	// Leaving reports whether a target is about to be removed; nil means none is.
	Leaving func(rosemary.TargetID) bool
	// Probes holds one control connection for each target, which Probe uses to
	// request the status at once. If it is nil, Probe does nothing and statuses
	// come from the watches alone.
	Probes map[rosemary.TargetID]rosemary.TargetControl
	// WatchTimeout is how long a target delays its answer to a watch while its
	// status doesn't change (long polling).
	WatchTimeout time.Duration
	// OnChange is called when the primary changes or a target goes down. It
	// must not block.
	OnChange func(Change)
}

// Change is a change of primary or a target that went down.
type Change struct {
	Database string
	// Down is the target that went down; empty if none did.
	Down rosemary.TargetID
	// Primary and Term are set when the primary changed.
	Primary rosemary.TargetID
	Term    uint64
}

const (
	defaultWatchTimeout = 200 * time.Millisecond
	// reconnectDelay separates attempts to reach a target that doesn't answer.
	reconnectDelay = 25 * time.Millisecond
	// downThreshold is the number of failed calls after which a target counts
	// as down: a failed watch, then a failed new connection. A refused
	// connection counts as down at once.
	downThreshold = 2
)

// Monitor monitors one group. Its methods may be called concurrently.
type Monitor struct {
	config Config

	mu           sync.Mutex
	observations *Observations
	reachability map[rosemary.TargetID]Reachability
	changed      chan struct{}
	primary      rosemary.TargetID
	term         uint64
	// probing is a semaphore that allows one probe at a time.
	probing chan struct{}
}

// Reachability tells whether a target answers this process.
type Reachability struct {
	Failures int
	// ConnectionRefused is set when the target's VM answered that no process
	// listens on the port.
	ConnectionRefused bool
	// Since is when the target began to answer, or to fail.
	Since time.Time
}

// Down reports whether the target counts as down.
func (r Reachability) Down() bool { return r.Failures >= downThreshold }

// NewMonitor returns a monitor; Run starts it.
func NewMonitor(config Config) *Monitor {
	if config.WatchTimeout <= 0 {
		config.WatchTimeout = defaultWatchTimeout
	}
	if config.OnChange == nil {
		config.OnChange = func(Change) {}
	}
	return &Monitor{
		config:       config,
		observations: NewObservations(config.Group, config.Leaving),
		reachability: make(map[rosemary.TargetID]Reachability),
		changed:      make(chan struct{}),
		probing:      make(chan struct{}, 1),
	}
}

// Group returns the group that it monitors.
func (m *Monitor) Group() rosemary.Group { return m.config.Group }

// Run watches every target until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	for id, control := range m.config.Controls {
		tasks.Go(func() error {
			m.watch(ctx, id, control)
			return nil
		})
	}
	return tasks.Wait()
}

func (m *Monitor) watch(ctx context.Context, id rosemary.TargetID, control rosemary.TargetControl) {
	var known rosemary.Status
	for ctx.Err() == nil {
		sent := time.Now()
		status, err := control.Watch(ctx, known, m.config.WatchTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			known = rosemary.Status{}
			m.observeFailure(id, err)
			roseclock.Sleep(ctx, reconnectDelay)
			continue
		}
		known = status
		m.observeAnswer(id)
		m.Observe(Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
	}
}

func (m *Monitor) observeAnswer(id rosemary.TargetID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reachability[id].Failures > 0 || m.reachability[id].Since.IsZero() {
		m.reachability[id] = Reachability{Since: time.Now()}
		m.notifyChanged()
	}
}

func (m *Monitor) observeFailure(id rosemary.TargetID, err error) {
	m.mu.Lock()
	r := m.reachability[id]
	if r.Failures == 0 {
		r.Since = time.Now()
	}
	r.Failures++
	r.ConnectionRefused = isConnectionRefused(err)
	if r.ConnectionRefused {
		r.Failures = max(r.Failures, downThreshold)
	}
	before := m.reachability[id].Down()
	m.reachability[id] = r
	if r.Down() != before {
		m.notifyChanged()
	}
	m.mu.Unlock()
	if r.Down() && !before {
		m.config.OnChange(Change{Database: m.config.Group.Database, Down: id})
	}
}

// Observe records an observation made by this process or by a peer.
func (m *Monitor) Observe(observation Observation) {
	m.mu.Lock()
	isNew := m.observations.Add(observation)
	if isNew {
		m.notifyChanged()
	}
	primary, ok := m.observations.Primary()
	primaryChanged := ok && (primary.Target != m.primary || primary.Term != m.term)
	if primaryChanged {
		m.primary, m.term = primary.Target, primary.Term
	}
	m.mu.Unlock()
	if primaryChanged {
		m.config.OnChange(Change{Database: m.config.Group.Database, Primary: primary.Target, Term: primary.Term})
	}
}

// notifyChanged wakes the waiters. The lock must be held.
func (m *Monitor) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that closes at the next change.
func (m *Monitor) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// TargetView is a snapshot of what is known of one target.
type TargetView struct {
	rosemary.Target
	Status       rosemary.Status
	Reachability Reachability
	// Age is an upper bound on the age of the target's data, valid if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	Seen     bool
	// SeenAt is when the status was requested.
	SeenAt time.Time
}

// View is a snapshot of what is known of a group.
type View struct {
	Term    uint64
	Targets []TargetView
	// Primary is the primary of Term, valid if HasPrimary.
	Primary    TargetView
	HasPrimary bool
	Confirmed  rosemary.Position
	// TermVerifiedAt is when Term was last known to be in force.
	TermVerifiedAt time.Time
	// ConfirmationLag is how far confirmation is behind the primary; zero if
	// that isn't known.
	ConfirmationLag time.Duration
}

// View returns a snapshot, and a channel that closes at the next change.
func (m *Monitor) View() (View, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	term := m.observations.Term()
	view := View{Term: term, Confirmed: m.observations.Confirmed(), TermVerifiedAt: m.observations.TermVerifiedAt(term)}
	if at := m.observations.ConfirmedAt(); !at.IsZero() {
		view.ConfirmationLag = now.Sub(at)
	}
	for _, t := range m.config.Group.Targets {
		observation, seen := m.observations.Get(t.ID)
		tv := TargetView{Target: t, Status: observation.Status, Reachability: m.reachability[t.ID], Seen: seen, SeenAt: observation.SentAt}
		if caughtUpAt := m.observations.CaughtUpAt(t.ID); !caughtUpAt.IsZero() {
			tv.Age = now.Sub(caughtUpAt)
			tv.AgeKnown = true
		}
		view.Targets = append(view.Targets, tv)
		if seen && observation.Term == term && observation.LeadsTerm() {
			view.Primary = tv
			view.HasPrimary = true
		}
	}
	return view, m.changed
}

// Observations returns the newest observation of each target.
func (m *Monitor) Observations() []Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.observations.All()
}

// AwaitConfirmation waits until the record at p is known to be confirmed or
// lost. The error is that of ctx if it ends first.
func (m *Monitor) AwaitConfirmation(ctx context.Context, p rosemary.Position) (rosemary.RecordState, error) {
	for {
		m.mu.Lock()
		state := m.observations.RecordState(p)
		changed := m.changed
		m.mu.Unlock()
		if state != rosemary.RecordUnknown {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return rosemary.RecordUnknown, ctx.Err()
		}
	}
}

// MinReadPosition returns a position at or after every write that was
// acknowledged before since. It waits for a status of the primary that was
// requested at or after since, and until its term is known to have been in force
// at or after since.
func (m *Monitor) MinReadPosition(ctx context.Context, since time.Time) (rosemary.Position, error) {
	m.Probe(ctx)
	for {
		m.mu.Lock()
		primary, ok := m.observations.Primary()
		verified := ok && !primary.SentAt.Before(since) && !m.observations.TermVerifiedAt(primary.Term).Before(since)
		m.mu.Unlock()
		if verified {
			return primary.Position, nil
		}
		if err := sleepReadPoll(ctx); err != nil {
			return rosemary.Position{}, err
		}
	}
}

// readPollInterval separates checks of the observation times, which advance
// without a change that Changed would report.
const readPollInterval = 2 * time.Millisecond

func sleepReadPoll(ctx context.Context) error {
	roseclock.Sleep(ctx, readPollInterval)
	return ctx.Err()
}

// probeTimeout limits the duration of a probe.
const probeTimeout = 400 * time.Millisecond

// Probe requests the status of every target now, and returns once a quorum has
// answered. Only one probe runs at a time; further callers wait for their turn.
func (m *Monitor) Probe(ctx context.Context) {
	if len(m.config.Probes) == 0 {
		return
	}
	select {
	case m.probing <- struct{}{}:
		defer func() { <-m.probing }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := make(chan bool, len(m.config.Probes))
	sent := time.Now()
	for _, probe := range m.config.Probes {
		go func() {
			status, err := probe.Watch(ctx, rosemary.Status{}, 0)
			if err == nil {
				m.Observe(Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
			}
			answered <- err == nil
		}()
	}
	m.awaitQuorum(answered)
}

// awaitQuorum returns once a quorum has answered and the primary's term was in
// force recently, or once every target has answered or failed.
func (m *Monitor) awaitQuorum(answered <-chan bool) {
	successes := 0
	for range m.config.Probes {
		if <-answered {
			successes++
		}
		if view, _ := m.View(); successes >= m.config.Group.Quorum() && view.HasPrimary && time.Since(view.TermVerifiedAt) < probeTimeout {
			return
		}
	}
}

// WatchTimeout returns how long a target delays its answer to a watch while its
// status doesn't change.
func (m *Monitor) WatchTimeout() time.Duration { return m.config.WatchTimeout }
