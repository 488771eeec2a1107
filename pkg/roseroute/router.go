// Package roseroute chooses the target of each statement: the primary for writes
// and, for reads of a class that allows it, a replica that has reached the
// session's minimum position and whose data is recent enough. It serves groups
// with a rosegroup.Monitor; package rosefleet serves those whose targets the
// platform promotes.
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
	// transitMargin is kept between the age of a replica's data and a class's
	// MaxAge, for the time that the statement takes to reach the replica.
	transitMargin = 20 * time.Millisecond
	// defaultMaxVerificationAge bounds the time since the primary's term was last
	// known to be in force, for classes without a MaxAge.
	defaultMaxVerificationAge = time.Second
	// verificationAgeWatches raises that bound to at least this many watch
	// timeouts: a status that doesn't change arrives only once per watch timeout.
	verificationAgeWatches = 3
	// maxWaiting limits the number of statements that wait for a target.
	maxWaiting = 4096
	// retryInterval separates attempts to get a connection to a target.
	retryInterval = 5 * time.Millisecond
)

// Config configures a Router.
type Config struct {
	Group  *rosegroup.Monitor
	Zone   rosemary.Zone
	Pools  map[rosemary.TargetID]*rosepool.Pool
	Queues map[rosemary.TargetID]*roseadmit.Queue
	// Leaving reports whether a target is to get no new work according to the
	// bundle or the VM list. Nil means that only the target's own status counts.
	Leaving func(rosemary.TargetID) bool
	// PrimaryReads sends every read to the primary. The load tool uses it as the
	// baseline to compare with.
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

// Request describes what a statement needs from a target.
type Request struct {
	// MinPosition is the position that a replica must have reached.
	MinPosition rosemary.Position
	Class       rosemary.Class
	Flow        roseadmit.Flow
	// ForcePrimary sends a read to the primary.
	ForcePrimary bool
}

// ConnLease is a connection to the chosen target.
type ConnLease struct {
	Conn *rosepool.Conn
	// Replica is set if the target isn't the primary.
	Replica bool
	Zone    rosemary.Zone
	pool    *rosepool.Pool
	ticket  *roseadmit.Ticket
}

// Release returns the connection. singleStatement tells that the lease was held
// for a single statement, so that its duration is a sample of the target's latency.
func (l *ConnLease) Release(singleStatement bool) {
	l.ticket.Release(singleStatement && !l.Conn.Broken())
	l.pool.Release(l.Conn)
}

// Group returns the monitor of the router's group.
func (r *Router) Group() *rosegroup.Monitor { return r.config.Group }

// Acquire waits for a connection to a target that may serve the request. If it
// fails, nothing was sent. The error is a *rosemary.Refusal.
func (r *Router) Acquire(ctx context.Context, request Request) (*ConnLease, error) {
	if r.waiting.Add(1) > maxWaiting {
		r.waiting.Add(-1)
		return nil, refusal(rosemary.KindOverloaded, "too many statements are waiting for a target", time.Second)
	}
	defer r.waiting.Add(-1)
	for {
		view, changed := r.config.Group.View()
		choice, err := r.choose(ctx, view, request)
		if err != nil {
			return nil, err
		}
		if choice.Target.ID == "" {
			if !awaitChange(ctx, changed, time.Second) {
				return nil, noTargetRefusal(request)
			}
			continue
		}
		lease, err := r.acquireFrom(ctx, choice, view, request)
		if lease != nil || isRefusal(err) {
			return lease, err
		}
		if !awaitChange(ctx, changed, retryInterval) {
			return nil, noTargetRefusal(request)
		}
	}
}

func isRefusal(err error) bool {
	var refused *rosemary.Refusal
	return errors.As(err, &refused)
}

// awaitChange waits for a change, at most for timeout. It reports false if ctx has
// ended.
func awaitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}

// choose returns the target to use, or none if the request must wait.
func (r *Router) choose(ctx context.Context, view rosegroup.View, request Request) (rosegroup.TargetView, error) {
	if request.Class.ReadOnly && !request.ForcePrimary && !r.config.PrimaryReads && request.Class.MaxAge > 0 {
		if replica, ok := r.chooseReplica(view, request); ok {
			return replica, nil
		}
	}
	primary := view.Primary
	if !view.HasPrimary || primary.Reachability.Down() || r.config.Leaving(primary.ID) && request.Class.ReadOnly {
		return rosegroup.TargetView{}, nil
	}
	if time.Since(view.TermVerifiedAt) > r.maxVerificationAge(request.Class) {
		return rosegroup.TargetView{}, nil
	}
	if !primary.Status.Position.AtLeast(request.MinPosition) && primary.Status.Term < request.MinPosition.LogTerm {
		return rosegroup.TargetView{}, nil
	}
	if request.Class.ReadOnly {
		return primary, nil
	}
	deadline, ok := ctx.Deadline()
	if ok && view.ConfirmationLag > time.Until(deadline) && r.hasUnconfirmed(view) {
		return rosegroup.TargetView{}, refusal(rosemary.KindUnconfirmed,
			"replicas are too far behind to confirm a write before its deadline", view.ConfirmationLag)
	}
	return primary, nil
}

// maxVerificationAge returns the longest time since the primary's term was last
// known to be in force. A deposed primary that still answers has neither recent data
// nor a quorum to confirm a write.
func (r *Router) maxVerificationAge(class rosemary.Class) time.Duration {
	if class.MaxAge > 0 {
		return max(class.MaxAge-transitMargin, 0)
	}
	return max(defaultMaxVerificationAge, verificationAgeWatches*r.config.Group.WatchTimeout())
}

// hasUnconfirmed reports whether the primary holds records that aren't confirmed.
func (r *Router) hasUnconfirmed(view rosegroup.View) bool {
	return view.Primary.Status.Position.Compare(view.Confirmed) > 0
}

// chooseReplica returns the less loaded of two random replicas that may serve the
// request (power of two choices).
func (r *Router) chooseReplica(view rosegroup.View, request Request) (rosegroup.TargetView, bool) {
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
	recent := t.AgeKnown && t.Age+transitMargin <= request.Class.MaxAge
	return recent && t.Status.Position.AtLeast(request.MinPosition)
}

// cost estimates the response time of t.
func (r *Router) cost(t rosegroup.TargetView) time.Duration {
	load := r.config.Queues[t.ID].Load()
	utilization := float64(load.InFlight+load.Queued) / float64(max(load.Limit, 1))
	return time.Duration(float64(load.Latency) * (1 + utilization))
}

// acquireFrom takes a ticket and a connection. It returns neither a lease nor a
// refusal if the target has to be chosen again.
func (r *Router) acquireFrom(ctx context.Context, choice rosegroup.TargetView, view rosegroup.View, request Request) (*ConnLease, error) {
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
	return &ConnLease{Conn: conn, Replica: replica, Zone: choice.Zone, pool: pool, ticket: ticket}, nil
}

// stillValid checks the choice again after the waits for a ticket and a connection.
func (r *Router) stillValid(choice rosegroup.TargetView, replica bool, request Request) bool {
	view, _ := r.config.Group.View()
	if !replica {
		return view.HasPrimary && view.Primary.ID == choice.ID && time.Since(view.TermVerifiedAt) <= r.maxVerificationAge(request.Class)
	}
	for _, t := range view.Targets {
		if t.ID == choice.ID {
			return r.mayServe(t, view, request)
		}
	}
	return false
}

func noTargetRefusal(request Request) error {
	if request.Class.ReadOnly {
		return refusal(rosemary.KindNoReplica, "no target could serve the read before its deadline", 0)
	}
	return refusal(rosemary.KindNoPrimary, "no primary could be reached before the deadline", 0)
}

func refusal(kind rosemary.RefusalKind, message string, retryAfter time.Duration) error {
	return &rosemary.Refusal{
		Kind:       kind,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    message,
		Remedy:     "retry; if this persists, check the group with rosemary status",
		RetryAfter: retryAfter,
	}
}
