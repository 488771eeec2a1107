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
	// rankStagger is the delay between the turns of two successive supervisors of
	// a group.
	rankStagger = 300 * time.Millisecond
	// checkInterval bounds the time between two assessments of the group.
	checkInterval = 50 * time.Millisecond
	// initialDelay keeps a new supervisor from acting before it has heard from
	// the targets.
	initialDelay = time.Second
	// retryDelay follows a failed attempt, plus jitter of up to the same time.
	retryDelay = 50 * time.Millisecond
)

// Config configures a Supervisor.
type Config struct {
	Self  rosemary.ProxyID
	Group *rosegroup.Monitor
	// Control returns the control functions of a target; they are separate from
	// those that Group uses for its watches.
	Control func(rosemary.TargetID) rosemary.TargetControl
	// Store may be nil.
	Store rosemary.Store
	// Rank returns this proxy's place among the supervisors of the group.
	Rank func() int
	// Announce notifies the peers of a new primary.
	Announce func(rosemary.Status)
	// Leaving reports whether a target is to get no new work.
	Leaving func(rosemary.TargetID) bool
	// OnPromotion is called after each promotion by this proxy; may be nil.
	OnPromotion func(took time.Duration)
}

// Supervisor ensures that one group has a primary and that its other targets
// follow it.
type Supervisor struct {
	config  Config
	started time.Time
	tasks   sync.WaitGroup

	// attemptSlot holds one token while an attempt runs.
	attemptSlot chan struct{}

	action      Action
	actionSince time.Time
}

// NewSupervisor returns a supervisor; Run starts it.
func NewSupervisor(config Config) *Supervisor {
	if config.OnPromotion == nil {
		config.OnPromotion = func(time.Duration) {}
	}
	return &Supervisor{config: config, attemptSlot: make(chan struct{}, 1)}
}

func (s *Supervisor) database() string { return s.config.Group.Group().Database }

// Run supervises the group until ctx ends.
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

// step takes the action that the group requires once the condition for it has
// persisted long enough for this proxy's rank.
func (s *Supervisor) step(ctx context.Context, view rosegroup.View) {
	action, delay := Assess(s.config.Group.Group(), view, s.config.Leaving)
	now := time.Now()
	if action != s.action {
		s.action, s.actionSince = action, now
	}
	if action == ActionNone || now.Sub(s.started) < initialDelay {
		return
	}
	delay += time.Duration(s.config.Rank()) * rankStagger
	if now.Sub(s.actionSince) < delay {
		return
	}
	s.act(ctx, action, view)
	s.actionSince = time.Now()
}

func (s *Supervisor) act(ctx context.Context, action Action, view rosegroup.View) {
	if !s.acquireSlot(ctx) {
		return
	}
	defer s.releaseSlot()
	var err error
	switch action {
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
		roseclock.Sleep(ctx, retryDelay+rand.N(retryDelay))
	}
}

// acquireSlot waits until no other attempt runs. It reports false when ctx ended
// first.
func (s *Supervisor) acquireSlot(ctx context.Context) bool {
	select {
	case s.attemptSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Supervisor) releaseSlot() { <-s.attemptSlot }

// MovePrimary makes another target the primary: to, if it is given and holds
// every acknowledged write, and otherwise the one that ChoosePrimary selects. It
// returns the new primary.
func (s *Supervisor) MovePrimary(ctx context.Context, to rosemary.TargetID) (rosemary.TargetID, error) {
	if _, known := s.config.Group.Group().Find(to); to != "" && !known {
		return "", trace.NotFound("database %s has no target %q", s.database(), to)
	}
	if !s.acquireSlot(ctx) {
		return "", trace.ConnectionProblem(ctx.Err(), "another operation on database %s is still running", s.database())
	}
	defer s.releaseSlot()
	view, _ := s.config.Group.View()
	if view.HasPrimary && view.Primary.ID == to {
		return to, nil
	}
	status, err := s.promote(ctx, view, "requested by an operator", to)
	return status.Target, err
}

// promote starts a new term. The current primary is promoted again only if no
// other target qualifies.
func (s *Supervisor) promote(ctx context.Context, view rosegroup.View, reason string, preferred rosemary.TargetID) (rosemary.Status, error) {
	started := time.Now()
	proposer := fmt.Sprintf("%s#%016x", s.config.Self, rand.Uint64())
	term, claimed := s.claimTerm(ctx, view.Term+1, proposer)
	if !claimed {
		return rosemary.Status{}, trace.CompareFailed("another supervisor has claimed the term or a later one")
	}
	klog.InfoS("promotion begins", "proxy", s.config.Self, "database", s.database(), "term", term, "reason", reason)
	promotion := &Promotion{
		Group:     s.config.Group.Group(),
		Term:      term,
		Proposer:  proposer,
		Control:   s.config.Control,
		Preferred: preferred,
		Avoid: func(id rosemary.TargetID) bool {
			return id == view.Primary.ID || s.config.Leaving(id)
		},
	}
	sentAt := time.Now()
	status, err := promotion.Run(ctx)
	if err != nil {
		return rosemary.Status{}, err
	}
	s.config.Group.Observe(rosegroup.Observation{Status: status, SentAt: sentAt, ReceivedAt: time.Now()})
	s.config.Announce(status)
	s.config.OnPromotion(time.Since(started))
	klog.InfoS("promotion done", "proxy", s.config.Self, "database", s.database(), "term", term,
		"primary", status.Target, "took", time.Since(started))
	s.tasks.Go(func() {
		s.publishRecord(ctx, GroupRecord{Term: term, Primary: status.Target, Proposer: proposer})
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
		calls.Go(func() { s.followTarget(ctx, t.ID, primary) })
	}
	calls.Wait()
}

func (s *Supervisor) followTarget(ctx context.Context, id rosemary.TargetID, primary rosemary.Status) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	sentAt := time.Now()
	status, err := s.config.Control(id).Follow(ctx, primary.Target, primary.Term)
	if err != nil {
		klog.V(1).InfoS("follow failed", "proxy", s.config.Self, "database", s.database(), "target", id, "err", err)
		return
	}
	s.config.Group.Observe(rosegroup.Observation{Status: status, SentAt: sentAt, ReceivedAt: time.Now()})
}
