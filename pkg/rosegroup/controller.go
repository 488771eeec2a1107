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
	// Controls drives the targets, one each, for watching.
	Controls map[rosemary.TargetID]rosemary.TargetControl
	// Leaving tells which targets are on their way out; nil means none.
	Leaving func(rosemary.TargetID) bool
	// Probes drive the targets, one each, for a status at once; nil leaves
	// that to the watches.
	Probes map[rosemary.TargetID]rosemary.TargetControl
	// WatchWait is how long a target holds a watch without news.
	WatchTimeout time.Duration
	// OnChange is called after a change of terms, roles or reachability.
	// It must not block.
	OnChange func(Change)
}

// Change is an event that others act on.
type Change struct {
	Database string
	// Down lists a target that stopped answering.
	Down rosemary.TargetID
	// Primary and Term are set when the primary changed.
	Primary rosemary.TargetID
	Term    uint64
}

const (
	defaultWatchWait = 200 * time.Millisecond
	// reconnectPause separates attempts to reach a silent target.
	reconnectPause = 25 * time.Millisecond
	// downAfter is the number of failed calls after which a target counts
	// as down: a failed watch, then a failed new connection.
	downAfter = 2
)

// Controller follows one group. Its methods may be called concurrently.
type Controller struct {
	config Config

	mu      sync.Mutex
	facts   *Observations
	reach   map[rosemary.TargetID]Reachability
	changed chan struct{}
	primary rosemary.TargetID
	term    uint64
	// probing holds one token while a probe runs.
	probing chan struct{}
}

// Reachability tells whether a target answers this process.
type Reachability struct {
	Failures int
	// Refused is set when the target's VM answered that nothing listens.
	ConnectionRefused bool
	// Since is when the present state began.
	Since time.Time
}

// Down reports whether the target counts as unreachable.
func (r Reachability) Down() bool { return r.Failures >= downAfter }

// NewController returns a controller; Run starts it.
func NewController(config Config) *Controller {
	if config.WatchTimeout <= 0 {
		config.WatchTimeout = defaultWatchWait
	}
	if config.OnChange == nil {
		config.OnChange = func(Change) {}
	}
	return &Controller{
		config:  config,
		facts:   NewObservations(config.Group, config.Leaving),
		reach:   make(map[rosemary.TargetID]Reachability),
		changed: make(chan struct{}),
		probing: make(chan struct{}, 1),
	}
}

// Group returns the group that the controller follows.
func (c *Controller) Group() rosemary.Group { return c.config.Group }

// Run watches every target until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	for id, control := range c.config.Controls {
		tasks.Go(func() error {
			c.watch(ctx, id, control)
			return nil
		})
	}
	return tasks.Wait()
}

func (c *Controller) watch(ctx context.Context, id rosemary.TargetID, control rosemary.TargetControl) {
	var known rosemary.Status
	for ctx.Err() == nil {
		sent := time.Now()
		status, err := control.Watch(ctx, known, c.config.WatchTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			known = rosemary.Status{}
			c.noteFailure(id, err)
			roseclock.Sleep(ctx, reconnectPause)
			continue
		}
		known = status
		c.noteAnswer(id)
		c.Observe(Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
	}
}

func (c *Controller) noteAnswer(id rosemary.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reach[id].Failures > 0 || c.reach[id].Since.IsZero() {
		c.reach[id] = Reachability{Since: time.Now()}
		c.wake()
	}
}

func (c *Controller) noteFailure(id rosemary.TargetID, err error) {
	c.mu.Lock()
	r := c.reach[id]
	if r.Failures == 0 {
		r.Since = time.Now()
	}
	r.Failures++
	r.ConnectionRefused = isRefused(err)
	if r.ConnectionRefused {
		r.Failures = max(r.Failures, downAfter)
	}
	before := c.reach[id].Down()
	c.reach[id] = r
	if r.Down() != before {
		c.wake()
	}
	c.mu.Unlock()
	if r.Down() && !before {
		c.config.OnChange(Change{Database: c.config.Group.Database, Down: id})
	}
}

// Observe takes in a fact, from this process's watch or from a peer.
func (c *Controller) Observe(fact Observation) {
	c.mu.Lock()
	news := c.facts.Add(fact)
	if news {
		c.wake()
	}
	primary, ok := c.facts.Primary()
	moved := ok && (primary.Target != c.primary || primary.Term != c.term)
	if moved {
		c.primary, c.term = primary.Target, primary.Term
	}
	c.mu.Unlock()
	if moved {
		c.config.OnChange(Change{Database: c.config.Group.Database, Primary: primary.Target, Term: primary.Term})
	}
}

// wake tells waiters to look again. The lock is held.
func (c *Controller) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that closes at the next change.
func (c *Controller) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// TargetView is what is known of one target at one moment.
type TargetView struct {
	rosemary.Target
	Status       rosemary.Status
	Reachability Reachability
	// Age bounds the age of the target's data; Known is false without bound.
	Age      time.Duration
	AgeKnown bool
	Seen     bool
	// SeenAt is when the status was asked for.
	SeenAt time.Time
}

// View is what is known of a group at one moment.
type View struct {
	Term    uint64
	Targets []TargetView
	// Primary is the leader of Term; HasPrimary is false when none is known.
	Primary    TargetView
	HasPrimary bool
	Confirmed  rosemary.Position
	// CurrentAt is when Term was last known to be in force.
	TermVerifiedAt time.Time
	// ConfirmLag is how far confirmation is behind the primary.
	ConfirmationLag time.Duration
}

// View returns what is known now, and a channel that closes at the next change.
func (c *Controller) View() (View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	term := c.facts.Term()
	view := View{Term: term, Confirmed: c.facts.Confirmed(), TermVerifiedAt: c.facts.TermVerifiedAt(term)}
	if at := c.facts.ConfirmedAt(); !at.IsZero() {
		view.ConfirmationLag = now.Sub(at)
	}
	for _, t := range c.config.Group.Targets {
		fact, seen := c.facts.Get(t.ID)
		tv := TargetView{Target: t, Status: fact.Status, Reachability: c.reach[t.ID], Seen: seen, SeenAt: fact.SentAt}
		if fresh := c.facts.CaughtUpAt(t.ID); !fresh.IsZero() {
			tv.Age = now.Sub(fresh)
			tv.AgeKnown = true
		}
		view.Targets = append(view.Targets, tv)
		if seen && fact.Term == term && fact.LeadsTerm() {
			view.Primary = tv
			view.HasPrimary = true
		}
	}
	return view, c.changed
}

// Observations returns the facts known now.
func (c *Controller) Observations() []Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.facts.All()
}

// AwaitConfirmation waits until the fate of the record at p is known. The error is
// ctx's when it isn't known in time.
func (c *Controller) AwaitConfirmation(ctx context.Context, p rosemary.Position) (rosemary.RecordState, error) {
	for {
		c.mu.Lock()
		fate := c.facts.RecordStateAt(p)
		changed := c.changed
		c.mu.Unlock()
		if fate != rosemary.RecordUnknown {
			return fate, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return rosemary.RecordUnknown, ctx.Err()
		}
	}
}

// MinReadPosition returns a position at or after every write that was
// acknowledged before since. It waits until the primary was seen after since
// and its term was in force after since.
func (c *Controller) MinReadPosition(ctx context.Context, since time.Time) (rosemary.Position, error) {
	c.Probe(ctx)
	for {
		c.mu.Lock()
		primary, ok := c.facts.Primary()
		settled := ok && !primary.SentAt.Before(since) && !c.facts.TermVerifiedAt(primary.Term).Before(since)
		c.mu.Unlock()
		if settled {
			return primary.Position, nil
		}
		if err := waitPoll(ctx); err != nil {
			return rosemary.Position{}, err
		}
	}
}

// samplePoll separates looks at facts whose times matter, not only their news.
const samplePoll = 2 * time.Millisecond

func waitPoll(ctx context.Context) error {
	roseclock.Sleep(ctx, samplePoll)
	return ctx.Err()
}

// probeTimeout bounds one probe.
const probeTimeout = 400 * time.Millisecond

// Probe asks every target for its status now, and returns once a quorum has
// answered. Callers that come while a probe runs share the next one.
func (c *Controller) Probe(ctx context.Context) {
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

// awaitQuorum returns once the primary's term can be judged, or all answered.
func (c *Controller) awaitQuorum(answered <-chan bool) {
	good := 0
	for range c.config.Probes {
		if <-answered {
			good++
		}
		if primary, _ := c.View(); good >= c.config.Group.Quorum() && primary.HasPrimary && time.Since(primary.TermVerifiedAt) < probeTimeout {
			return
		}
	}
}

// WatchTimeout returns how long a target holds a watch without news.
func (c *Controller) WatchTimeout() time.Duration { return c.config.WatchTimeout }
