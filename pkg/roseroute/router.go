// Package roseroute chooses the target of each statement: the primary for
// writes, and for declared reads a replica whose data has reached the
// session's floor and is young enough.
package roseroute

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
)

const (
	// ageMargin is kept between a replica's age and a class's MaxAge for
	// the way of the statement to the replica.
	ageMargin = 20 * time.Millisecond
	// primaryFreshness is the same bound for statements without an age.
	primaryFreshness = time.Second
	// freshWatches is the number of idle watches that the bound spans.
	freshWatches = 3
	// maxWaiting bounds the statements that wait for a primary.
	maxWaiting = 4096
	// retryPause separates attempts at a target that refuses connections.
	retryPause = 5 * time.Millisecond
)

// Config sets up a Router.
type Config struct {
	Group  *rosegroup.Controller
	Zone   rosemary.Zone
	Pools  map[rosemary.TargetID]*rosepool.Pool
	Queues map[rosemary.TargetID]*roseadmit.Queue
	// Leaving tells whether a target is to get no new work, by bundle or VM
	// list. Nil means that only the target's own sign counts.
	Leaving func(rosemary.TargetID) bool
	// PrimaryReads sends every read to the primary; it is the baseline that
	// the load tool compares with.
	PrimaryReads bool
}

// Router routes the statements of one database.
type Router struct {
	config  Config
	waiting atomic.Int64
}

// NewRouter returns a router over pools and queues that hold one entry for
// each target of the group.
func NewRouter(config Config) *Router {
	if config.Leaving == nil {
		config.Leaving = func(rosemary.TargetID) bool { return false }
	}
	return &Router{config: config}
}

// Request describes what is to be routed.
type Request struct {
	// Floor is the position that a replica must have reached.
	MinPosition rosemary.Position
	Class       rosemary.Class
	Flow        roseadmit.Flow
	// ForcePrimary sends a read to the primary.
	ForcePrimary bool
}

// Lease is a connection to the chosen target.
type Lease struct {
	Conn *rosepool.Conn
	// Replica is set when the target isn't the primary.
	Replica bool
	Zone    rosemary.Zone
	pool    *rosepool.Pool
	ticket  *roseadmit.Ticket
}

// Release gives the connection back. Served tells that the lease was held for
// one statement, whose time tells the target's latency.
func (l *Lease) Release(served bool) {
	l.ticket.Release(served && !l.Conn.Broken())
	l.pool.Release(l.Conn)
}

// Group returns the controller of the router's group.
func (r *Router) Group() *rosegroup.Controller { return r.config.Group }

// Acquire waits for a connection to a target that may serve the request.
// Nothing was sent when it fails; the error is a *rosemary.Refusal.
func (r *Router) Acquire(ctx context.Context, request Request) (*Lease, error) {
	if r.waiting.Add(1) > maxWaiting {
		r.waiting.Add(-1)
		return nil, refusal(rosemary.KindOverloaded, "too many statements wait for a target", time.Second)
	}
	defer r.waiting.Add(-1)
	for {
		view, changed := r.config.Group.View()
		choice, err := r.choose(ctx, view, request)
		if err != nil {
			return nil, err
		}
		if choice.Target.ID == "" {
			if !await(ctx, changed, time.Second) {
				return nil, noTarget(request)
			}
			continue
		}
		lease, err := r.lease(ctx, choice, view, request)
		if lease != nil || isRefusal(err) {
			return lease, err
		}
		if !await(ctx, changed, retryPause) {
			return nil, noTarget(request)
		}
	}
}

func isRefusal(err error) bool {
	var refused *rosemary.Refusal
	return errors.As(err, &refused)
}

// await reports false when ctx ended first.
func await(ctx context.Context, changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// choose picks a target, or none when the request must wait.
func (r *Router) choose(ctx context.Context, view rosegroup.View, request Request) (rosegroup.TargetView, error) {
	if request.Class.ReadOnly && !request.ForcePrimary && !r.config.PrimaryReads && request.Class.MaxAge > 0 {
		if replica, ok := r.replica(view, request); ok {
			return replica, nil
		}
	}
	primary := view.Primary
	if !view.HasPrimary || primary.Reachability.Down() || r.config.Leaving(primary.ID) && request.Class.ReadOnly {
		return rosegroup.TargetView{}, nil
	}
	if time.Since(view.TermVerifiedAt) > r.primaryAge(request.Class) {
		return rosegroup.TargetView{}, nil
	}
	if !primary.Status.Position.AtLeast(request.MinPosition) && primary.Status.Term < request.MinPosition.LogTerm {
		return rosegroup.TargetView{}, nil
	}
	if request.Class.ReadOnly {
		return primary, nil
	}
	deadline, ok := ctx.Deadline()
	if ok && view.ConfirmationLag > time.Until(deadline) && r.lagging(view) {
		return rosegroup.TargetView{}, refusal(rosemary.KindUnconfirmed,
			"replicas are too far behind to confirm a write before its deadline", view.ConfirmationLag)
	}
	return primary, nil
}

// primaryAge bounds the time since the primary's term was last known to be in
// force: a deposed primary that still answers has neither fresh data nor the
// means to confirm a write.
func (r *Router) primaryAge(class rosemary.Class) time.Duration {
	if class.MaxAge > 0 {
		return max(class.MaxAge-ageMargin, 0)
	}
	return max(primaryFreshness, freshWatches*r.config.Group.WatchTimeout())
}

// lagging reports whether the primary holds more than was confirmed.
func (r *Router) lagging(view rosegroup.View) bool {
	return view.Primary.Status.Position.Compare(view.Confirmed) > 0
}

// replica picks the less loaded of two replicas that may serve the request.
func (r *Router) replica(view rosegroup.View, request Request) (rosegroup.TargetView, bool) {
	var eligible []rosegroup.TargetView
	for _, t := range view.Targets {
		if r.mayServe(t, view, request) {
			eligible = append(eligible, t)
		}
	}
	switch len(eligible) {
	case 0:
		return rosegroup.TargetView{}, false
	case 1:
		return eligible[0], true
	}
	i := rand.IntN(len(eligible))
	j := (i + 1 + rand.IntN(len(eligible)-1)) % len(eligible)
	if r.cost(eligible[j]) < r.cost(eligible[i]) {
		i = j
	}
	return eligible[i], true
}

func (r *Router) mayServe(t rosegroup.TargetView, view rosegroup.View, request Request) bool {
	if !t.Seen || t.Reachability.Down() || t.Status.Leaving || r.config.Leaving(t.ID) {
		return false
	}
	if view.HasPrimary && t.ID == view.Primary.ID || t.Status.Role == rosemary.RolePrimary {
		return false
	}
	young := t.AgeKnown && t.Age+ageMargin <= request.Class.MaxAge
	return young && t.Status.Position.AtLeast(request.MinPosition)
}

// cost estimates the time to an answer of t.
func (r *Router) cost(t rosegroup.TargetView) time.Duration {
	load := r.config.Queues[t.ID].Load()
	ahead := float64(load.InFlight+load.Queued) / float64(max(load.Limit, 1))
	return time.Duration(float64(load.Latency) * (1 + ahead))
}

// lease takes a ticket and a connection. It returns no lease and no refusal
// when the choice no longer holds.
func (r *Router) lease(ctx context.Context, choice rosegroup.TargetView, view rosegroup.View, request Request) (*Lease, error) {
	ticket, err := r.config.Queues[choice.ID].Acquire(ctx, request.Flow)
	if err != nil {
		return nil, err
	}
	replica := !view.HasPrimary || choice.ID != view.Primary.ID
	pool := r.config.Pools[choice.ID]
	conn, err := pool.Acquire(ctx)
	if err != nil {
		ticket.Release(false)
		return nil, trace.Wrap(err)
	}
	if !r.stillValid(choice, replica, request) {
		ticket.Release(false)
		pool.Release(conn)
		return nil, nil
	}
	return &Lease{Conn: conn, Replica: replica, Zone: choice.Zone, pool: pool, ticket: ticket}, nil
}

// stillValid looks again after the waits for a ticket and a connection.
func (r *Router) stillValid(choice rosegroup.TargetView, replica bool, request Request) bool {
	view, _ := r.config.Group.View()
	if !replica {
		return view.HasPrimary && view.Primary.ID == choice.ID && time.Since(view.TermVerifiedAt) <= r.primaryAge(request.Class)
	}
	for _, t := range view.Targets {
		if t.ID == choice.ID {
			return r.mayServe(t, view, request)
		}
	}
	return false
}

func noTarget(request Request) error {
	if request.Class.ReadOnly {
		return refusal(rosemary.KindNoReplica, "no target could serve the read before its deadline", 0)
	}
	return refusal(rosemary.KindNoPrimary, "no primary could be reached before the deadline", 0)
}

func refusal(kind rosemary.Kind, message string, after time.Duration) error {
	return &rosemary.Refusal{
		Kind:       kind,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    message,
		Remedy:     "retry; if it lasts, look at the group in rosemary status",
		RetryAfter: after,
	}
}
