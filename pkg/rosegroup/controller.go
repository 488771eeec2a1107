package rosegroup

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Config sets up a Controller.
type Config struct {
	Group rosemary.Group
	// Controls holds one control connection for each target, for watching.
	Controls map[rosemary.TargetID]rosemary.TargetControl
	// Leaving reports whether a target is about to be removed; nil means none is.
	Leaving func(rosemary.TargetID) bool
	// Probes holds one control connection for each target, for an immediate
	// status; nil leaves that to the watches.
	Probes map[rosemary.TargetID]rosemary.TargetControl
	// WatchTimeout is how long a target holds a watch whose status doesn't change.
	WatchTimeout time.Duration
	// OnChange is called when the primary changes or a target goes down. It
	// must not block.
	OnChange func(Change)
}

// Change is a change of primary or a target that went down.
type Change struct {
	Database string
	// Down is set to a target that stopped answering.
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
	// as down: a failed watch, then a failed new connection.
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
	// probing holds one token while a probe runs.
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

// NewMonitor returns a controller; Run starts it.
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

// Group returns the group that the controller monitors.
func (c *Monitor) Group() rosemary.Group { return c.config.Group }

// Run watches every target until ctx ends.
func (c *Monitor) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	for id, control := range c.config.Controls {
		tasks.Go(func() error {
			c.watch(ctx, id, control)
			return nil
		})
	}
	return tasks.Wait()
}

func (c *Monitor) watch(ctx context.Context, id rosemary.TargetID, control rosemary.TargetControl) {
	var known rosemary.Status
	for ctx.Err() == nil {
		sent := time.Now()
		status, err := control.Watch(ctx, known, c.config.WatchTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			known = rosemary.Status{}
			c.observeFailure(id, err)
			roseclock.Sleep(ctx, reconnectDelay)
			continue
		}
		known = status
		c.observeAnswer(id)
		c.Observe(Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
	}
}

func (c *Monitor) observeAnswer(id rosemary.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reachability[id].Failures > 0 || c.reachability[id].Since.IsZero() {
		c.reachability[id] = Reachability{Since: time.Now()}
		c.notifyChanged()
	}
}

func (c *Monitor) observeFailure(id rosemary.TargetID, err error) {
	c.mu.Lock()
	r := c.reachability[id]
	if r.Failures == 0 {
		r.Since = time.Now()
	}
	r.Failures++
	r.ConnectionRefused = isRefused(err)
	if r.ConnectionRefused {
		r.Failures = max(r.Failures, downThreshold)
	}
	before := c.reachability[id].Down()
	c.reachability[id] = r
	if r.Down() != before {
		c.notifyChanged()
	}
	c.mu.Unlock()
	if r.Down() && !before {
		c.config.OnChange(Change{Database: c.config.Group.Database, Down: id})
	}
}

// Observe records an observation made by this process or by a peer.
func (c *Monitor) Observe(observation Observation) {
	c.mu.Lock()
	isNew := c.observations.Add(observation)
	if isNew {
		c.notifyChanged()
	}
	primary, ok := c.observations.Primary()
	primaryChanged := ok && (primary.Target != c.primary || primary.Term != c.term)
	if primaryChanged {
		c.primary, c.term = primary.Target, primary.Term
	}
	c.mu.Unlock()
	if primaryChanged {
		c.config.OnChange(Change{Database: c.config.Group.Database, Primary: primary.Target, Term: primary.Term})
	}
}

// notifyChanged wakes the waiters. The lock must be held.
func (c *Monitor) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that closes at the next change.
func (c *Monitor) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
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
	// ConfirmationLag is how far confirmation is behind the primary.
	ConfirmationLag time.Duration
}

// View returns a snapshot, and a channel that closes at the next change.
func (c *Monitor) View() (View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	term := c.observations.Term()
	view := View{Term: term, Confirmed: c.observations.Confirmed(), TermVerifiedAt: c.observations.TermVerifiedAt(term)}
	if at := c.observations.ConfirmedAt(); !at.IsZero() {
		view.ConfirmationLag = now.Sub(at)
	}
	for _, t := range c.config.Group.Targets {
		observation, seen := c.observations.Get(t.ID)
		tv := TargetView{Target: t, Status: observation.Status, Reachability: c.reachability[t.ID], Seen: seen, SeenAt: observation.SentAt}
		if caughtUpAt := c.observations.CaughtUpAt(t.ID); !caughtUpAt.IsZero() {
			tv.Age = now.Sub(caughtUpAt)
			tv.AgeKnown = true
		}
		view.Targets = append(view.Targets, tv)
		if seen && observation.Term == term && observation.LeadsTerm() {
			view.Primary = tv
			view.HasPrimary = true
		}
	}
	return view, c.changed
}

// Observations returns the newest observation of each target.
func (c *Monitor) Observations() []Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observations.All()
}

// AwaitConfirmation waits until the record at p is known to be confirmed or
// lost. The error is that of ctx if it ends first.
func (c *Monitor) AwaitConfirmation(ctx context.Context, p rosemary.Position) (rosemary.RecordState, error) {
	for {
		c.mu.Lock()
		state := c.observations.RecordState(p)
		changed := c.changed
		c.mu.Unlock()
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
// acknowledged before since. It waits until a status of the primary was
// requested after since and its term was in force after since.
func (c *Monitor) MinReadPosition(ctx context.Context, since time.Time) (rosemary.Position, error) {
	c.Probe(ctx)
	for {
		c.mu.Lock()
		primary, ok := c.observations.Primary()
		verified := ok && !primary.SentAt.Before(since) && !c.observations.TermVerifiedAt(primary.Term).Before(since)
		c.mu.Unlock()
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
func (c *Monitor) Probe(ctx context.Context) {
	if len(c.config.Probes) == 0 {
		return
	}
	select {
	case c.probing <- struct{}{}:
		defer func() { <-c.probing }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := make(chan bool, len(c.config.Probes))
	sent := time.Now()
	for _, probe := range c.config.Probes {
		go func() {
			status, err := probe.Watch(ctx, rosemary.Status{}, 0)
			if err == nil {
				c.Observe(Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
			}
			answered <- err == nil
		}()
	}
	c.awaitQuorum(answered)
}

// awaitQuorum returns once a quorum has answered and the primary's term was in
// force recently, or once every target has answered or failed.
func (c *Monitor) awaitQuorum(answered <-chan bool) {
	successes := 0
	for range c.config.Probes {
		if <-answered {
			successes++
		}
		if view, _ := c.View(); successes >= c.config.Group.Quorum() && view.HasPrimary && time.Since(view.TermVerifiedAt) < probeTimeout {
			return
		}
	}
}

// WatchTimeout returns how long a target holds a watch whose status doesn't
// change.
func (c *Monitor) WatchTimeout() time.Duration { return c.config.WatchTimeout }
