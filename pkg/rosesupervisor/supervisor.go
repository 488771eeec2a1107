package rosesupervisor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// rankDelay is how much longer each further supervisor waits.
	rankDelay = 300 * time.Millisecond
	// checkInterval bounds the time between two looks at the group.
	checkInterval = 50 * time.Millisecond
	// settleTime keeps a new supervisor from acting before it knows much.
	settleTime = time.Second
	// retryPause follows a failed attempt, with as much again at random.
	retryPause = 50 * time.Millisecond
)

// Config sets up a Supervisor.
type Config struct {
	Self  rosemary.ProxyID
	Group *rosegroup.Controller
	// Control drives one target, beside the controller's watches.
	Control func(rosemary.TargetID) rosemary.TargetControl
	// Store may be nil.
	Store rosemary.Store
	// Rank is this proxy's place among the supervisors of the group.
	Rank func() int
	// Announce tells the peers of a new primary.
	Announce func(rosemary.Status)
	// Leaving tells which targets are to get no new work.
	Leaving func(rosemary.TargetID) bool
	// OnPromotion is told of each promotion that this proxy made.
	OnPromotion func(took time.Duration)
}

// Supervisor keeps one group led.
type Supervisor struct {
	config  Config
	started time.Time
	tasks   sync.WaitGroup

	// acting holds one token while an attempt runs.
	acting chan struct{}

	need  Action
	since time.Time
}

// New returns a supervisor; Run starts it.
func New(config Config) *Supervisor {
	if config.OnPromotion == nil {
		config.OnPromotion = func(time.Duration) {}
	}
	return &Supervisor{config: config, acting: make(chan struct{}, 1)}
}

func (s *Supervisor) database() string { return s.config.Group.Group().Database }

// Run looks after the group until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	s.started = time.Now()
	defer s.tasks.Wait()
	for ctx.Err() == nil {
		view, changed := s.config.Group.View()
		s.step(ctx, view)
		timer := time.NewTimer(checkInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step acts on a need once it has lasted long enough for this proxy's rank.
func (s *Supervisor) step(ctx context.Context, view rosegroup.View) {
	need, after := Assess(s.config.Group.Group(), view, s.config.Leaving)
	now := time.Now()
	if need != s.need {
		s.need, s.since = need, now
	}
	if need == ActionNone || now.Sub(s.started) < settleTime {
		return
	}
	after += time.Duration(s.config.Rank()) * rankDelay
	if now.Sub(s.since) < after {
		return
	}
	s.act(ctx, need, view)
	s.since = time.Now()
}

func (s *Supervisor) act(ctx context.Context, need Action, view rosegroup.View) {
	if !s.begin(ctx) {
		return
	}
	defer s.end()
	var err error
	switch need {
	case ActionFollow:
		s.follow(ctx, view, view.Primary.Status)
		return
	case ActionSwitchover:
		_, err = s.promote(ctx, view, "primary is leaving", "")
	case ActionReplaceIsolated:
		_, err = s.promote(ctx, view, "primary is cut off from its replicas", "")
	default:
		_, err = s.promote(ctx, view, "primary is gone", "")
	}
	if err != nil {
		klog.InfoS("promotion failed", "proxy", s.config.Self, "database", s.database(), "err", err)
		roseclock.Sleep(ctx, retryPause+rand.N(retryPause))
	}
}

// begin waits for the end of another attempt. It reports false when ctx ended
// first.
func (s *Supervisor) begin(ctx context.Context) bool {
	select {
	case s.acting <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Supervisor) end() { <-s.acting }

// MovePrimary makes another target the primary: to if it is given and holds every
// acknowledged write, else the best one. It returns the new primary.
func (s *Supervisor) MovePrimary(ctx context.Context, to rosemary.TargetID) (rosemary.TargetID, error) {
	if _, known := s.config.Group.Group().Find(to); to != "" && !known {
		return "", trace.NotFound("database %s has no target %q", s.database(), to)
	}
	if !s.begin(ctx) {
		return "", trace.ConnectionProblem(ctx.Err(), "another attempt on %s is running", s.database())
	}
	defer s.end()
	view, _ := s.config.Group.View()
	if view.HasPrimary && view.Primary.ID == to {
		return to, nil
	}
	status, err := s.promote(ctx, view, "asked by an operator", to)
	return status.Target, err
}

// promote starts a new term. The present primary is passed over if another
// target qualifies.
func (s *Supervisor) promote(ctx context.Context, view rosegroup.View, reason string, wanted rosemary.TargetID) (rosemary.Status, error) {
	started := time.Now()
	proposer := fmt.Sprintf("%s#%016x", s.config.Self, rand.Uint64())
	term, ahead := s.claim(ctx, view.Term+1, proposer)
	if !ahead {
		return rosemary.Status{}, trace.CompareFailed("another supervisor is ahead")
	}
	klog.InfoS("promotion begins", "proxy", s.config.Self, "database", s.database(), "term", term, "reason", reason)
	promotion := &Promotion{
		Group:     s.config.Group.Group(),
		Term:      term,
		Proposer:  proposer,
		Control:   s.config.Control,
		Preferred: wanted,
		Avoid: func(id rosemary.TargetID) bool {
			return id == view.Primary.ID || s.config.Leaving(id)
		},
	}
	sent := time.Now()
	status, err := promotion.Run(ctx)
	if err != nil {
		return rosemary.Status{}, err
	}
	s.config.Group.Observe(rosegroup.Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
	s.config.Announce(status)
	s.config.OnPromotion(time.Since(started))
	klog.InfoS("promotion done", "proxy", s.config.Self, "database", s.database(), "term", term,
		"primary", status.Target, "took", time.Since(started))
	s.tasks.Go(func() {
		s.publish(ctx, GroupRecord{Term: term, Primary: status.Target, Proposer: proposer})
	})
	view, _ = s.config.Group.View()
	s.follow(ctx, view, status)
	return status, nil
}

// follow makes the reachable targets follow the primary.
func (s *Supervisor) follow(ctx context.Context, view rosegroup.View, primary rosemary.Status) {
	var calls sync.WaitGroup
	for _, t := range view.Targets {
		if t.ID == primary.Target || t.Reachability.Down() {
			continue
		}
		calls.Go(func() { s.followOne(ctx, t.ID, primary) })
	}
	calls.Wait()
}

func (s *Supervisor) followOne(ctx context.Context, id rosemary.TargetID, primary rosemary.Status) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	sent := time.Now()
	status, err := s.config.Control(id).Follow(ctx, primary.Target, primary.Term)
	if err != nil {
		klog.V(1).InfoS("follow failed", "proxy", s.config.Self, "database", s.database(), "target", id, "err", err)
		return
	}
	s.config.Group.Observe(rosegroup.Observation{Status: status, SentAt: sent, ReceivedAt: time.Now()})
}
