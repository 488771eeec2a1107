package rosefleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// replicaBackoff is how long reads avoid a replica that had not reached
	// their minimum position or had no connection left.
	replicaBackoff = 60 * time.Millisecond
	// maxLagAge is how long a measured replication lag is used.
	maxLagAge = time.Second
	// chooseInterval is the longest wait before a target is chosen again.
	chooseInterval = 25 * time.Millisecond
	// leavingMargin is how long before the end of Config.LeavingTime a leaving primary
	// gets no new work any more, so that none arrives after it. For a short
	// LeavingTime it is half of that.
	leavingMargin = 2 * time.Second
	// responseTimeWeight is the weight of a new response time in the moving
	// average.
	responseTimeWeight = 0.1
)

// Request describes what a statement needs from a target.
type Request struct {
	// Primary excludes replicas.
	Primary bool
	// MinPosition is the position that a replica must have reached.
	MinPosition rosemary.Position
	Priority    int
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// SoftDeadline is when the answer should be there. It bounds the wait for a
	// connection only while the pool is overloaded.
	SoftDeadline time.Time
	// SessionID identifies the session, which preferably gets the connection that
	// it used last.
	SessionID uint64
	// Avoid is a target to use only if no other will do.
	Avoid rosemary.TargetID
	// Team is the team on whose behalf the statement runs, empty if there are no teams.
	Team string
	// TeamPriority is lowest for the most important teams.
	TeamPriority int
}

// ConnLease is a connection for the exclusive use of one session.
type ConnLease struct {
	group    *Group
	endpoint *endpoint
	pooled   *pooledConn
	// term is the one that the target was primary of when the connection was
	// acquired; zero for a replica.
	term uint64
	// targetWait and connWait are the waits for a target and for its connection.
	targetWait, connWait time.Duration
}

// Waits returns how long the session waited for a target that could serve it, and how long
// for the connection.
func (l *ConnLease) Waits() (target, conn time.Duration) { return l.targetWait, l.connWait }

// Acquire chooses a target and returns a connection to it. If it fails, nothing
// was sent on behalf of the session.
func (g *Group) Acquire(ctx context.Context, request Request) (*ConnLease, *rosemary.Refusal) {
	var targetWait time.Duration
	for {
		askedAt := time.Now()
		e, term, changed := g.choose(request)
		if e != nil {
			lease, refusal := g.acquireFrom(ctx, e, term, request)
			if lease != nil {
				lease.targetWait, lease.connWait = targetWait, time.Since(askedAt)
			}
			if lease != nil || refusal != nil {
				return lease, refusal
			}
		}
		hopeless := e == nil && (g.config.ZonePartitioned() || request.Primary && g.expectsNoPrimary())
		if ctx.Err() != nil || !time.Now().Before(request.Deadline) || hopeless {
			return nil, g.noTargetRefusal(request)
		}
		if e == nil && !awaitChange(ctx, changed, request.Deadline) {
			return nil, g.noTargetRefusal(request)
		}
		targetWait += time.Since(askedAt)
	}
}

// awaitChange waits for a change, at most chooseInterval. It reports false once the
// deadline has passed or ctx has ended.
func awaitChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(min(time.Until(deadline), chooseInterval))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return time.Now().Before(deadline)
}

// choose returns the target to use, and its term if it is the primary.
func (g *Group) choose(request Request) (*endpoint, uint64, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	primary, known := g.primaryTracker.Primary()
	valid := known && g.config.AllowPrimary(now) && now.Before(primary.ValidUntil)
	g.outage = g.outage.WithPrimary(valid, now)
	if request.Primary {
		if e := g.endpoints[primary.Target]; valid && e != nil && e.unreachableSince.IsZero() && !e.pastLeavingGrace(now) {
			return e, primary.Term, g.changed
		}
		return nil, 0, g.changed
	}
	var best *endpoint
	var lowest time.Duration
	for id, e := range g.endpoints {
		if !g.canServe(e, primary, valid, now, request) {
			continue
		}
		inUse, waiting, limit, _ := e.pool.load()
		cost := rosedecision.Target{
			ResponseTime: e.responseTime, InUse: inUse, Waiting: waiting, Limit: limit, OpenTime: e.pool.openTime(request.Team),
			OtherZone: e.target.Zone != g.config.Zone, Primary: id == primary.Target, Avoid: id == request.Avoid, Reliability: e.reliability,
		}.Cost(now, rand.Float64())
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best != nil && valid && best.target.ID == primary.Target {
		return best, primary.Term, g.changed
	}
	return best, 0, g.changed
}

// caughtUp reports whether a replica has probably reached position by now, judged
// by its last known lag, or whether that lag is too old to tell. The lock must be
// held.
func (g *Group) caughtUp(e *endpoint, now time.Time, position rosemary.Position) bool {
	reachedAt := g.primaryTracker.ReachedAt(position)
	if reachedAt.IsZero() {
		reachedAt = now
	}
	return !now.Add(-e.lag).Before(reachedAt) || now.Sub(e.lagAt) > maxLagAge
}

// pastLeavingGrace reports whether a leaving target gets no new work, whatever its
// role. The time counts from when it was last known to be ready, which is before its
// report, however late the report was noticed here.
func (e *endpoint) pastLeavingGrace(now time.Time) bool {
	leavingTime := e.group.config.LeavingTime
	return e.leaving && now.Sub(e.lastReadyAt) > leavingTime-min(leavingMargin, leavingTime/2)
}

// canServe reports whether e can serve a read. The lock must be held.
func (g *Group) canServe(e *endpoint, primary rosegroup.PrimaryLease, valid bool, now time.Time, request Request) bool {
	unused := g.use(e, primary, valid, now, request.MinPosition).Unused(now)
	g.reportUse(e, unused, now, request.MinPosition)
	return unused == rosedecision.Used
}

// acquireFrom takes a connection to e. It returns neither a lease nor a refusal if
// the target has to be chosen again.
func (g *Group) acquireFrom(ctx context.Context, e *endpoint, term uint64, request Request) (*ConnLease, *rosemary.Refusal) {
	request.SoftDeadline = request.SoftDeadline.Add(-e.meanResponseTime())
	if wait, worthwhile := e.pool.admit(request); !worthwhile {
		return nil, e.overloadedRefusal(wait)
	}
	c, ok, w := e.pool.take(request)
	if w != nil {
		var refusal *rosemary.Refusal
		if c, ok, refusal = e.awaitConn(ctx, w, request); refusal != nil {
			return nil, refusal
		}
	}
	if !ok {
		return nil, nil
	}
	lease := &ConnLease{group: g, endpoint: e, pooled: c, term: term}
	if c == nil {
		var err error
		if c, err = e.dial(ctx, request.Team); err != nil {
			g.handleDialError(ctx, e, request.Team, err)
			return nil, nil
		}
		lease.pooled = c
	}
	c.sessionID = request.SessionID
	if !lease.mayBegin() {
		e.pool.put(c)
		return nil, nil
	}
	return lease, nil
}

// awaitConn waits for a connection until the deadline.
func (e *endpoint) awaitConn(ctx context.Context, w *waiter, request Request) (*pooledConn, bool, *rosemary.Refusal) {
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case granted := <-w.granted:
		if granted.shed {
			wait, _ := e.pool.admit(request)
			return nil, false, e.overloadedRefusal(wait)
		}
		return granted.conn, granted.ok, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	e.pool.abandon(w)
	wait, _ := e.pool.admit(request)
	return nil, false, e.overloadedRefusal(wait)
}

// handleDialError releases the right to open a connection, and records why that failed.
func (g *Group) handleDialError(ctx context.Context, e *endpoint, team string, err error) {
	if trace.IsLimitExceeded(err) {
		g.mu.Lock()
		e.fullUntil = g.config.Clock.Now().Add(replicaBackoff)
		g.mu.Unlock()
		e.pool.releaseOpening(team, false)
		roseclock.Sleep(ctx, chooseInterval)
		return
	}
	if ctx.Err() != nil {
		// The client gave up, which says nothing of the target.
		e.pool.releaseOpening(team, false)
		return
	}
	// Requests that are released next choose without this target.
	g.observeFailure(e, g.config.Clock.Now(), err)
	e.pool.releaseOpening(team, true)
}

// Target returns the target of the connection.
func (l *ConnLease) Target() rosemary.TargetID { return l.endpoint.target.ID }

// Primary reports whether the target was the primary when the connection was
// acquired.
func (l *ConnLease) Primary() bool { return l.term > 0 }

// SessionState returns what the last user of the connection set as its state, nil
// for a new connection.
func (l *ConnLease) SessionState() any { return l.pooled.sessionState }

// SetSessionState sets the state that the next user of the connection will find.
func (l *ConnLease) SetSessionState(state any) { l.pooled.sessionState = state }

// mayBegin reports whether new work may still begin on the connection, for which the
// request may have waited.
func (l *ConnLease) mayBegin() bool {
	if l.term > 0 && !l.StillPrimary() {
		return false
	}
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.term > 0 {
		return !l.endpoint.pastLeavingGrace(g.config.Clock.Now())
	}
	return !l.endpoint.leaving
}

// StillPrimary reports whether the target is still the primary of the term in which
// the connection was acquired. If so, no answer received so far came from a primary
// that had already been replaced.
func (l *ConnLease) StillPrimary() bool {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	now := l.group.config.Clock.Now()
	return l.group.config.AllowPrimary(now) && l.group.primaryTracker.IsPrimary(l.endpoint.target.ID, l.term, now)
}

// Exchange runs statements on the connection, and updates the state of the target
// from the last answer.
func (l *ConnLease) Exchange(deadline time.Time, statements ...rosemary.Statement) ([]rosemary.Answer, bool, error) {
	if l.pooled.resting {
		l.endpoint.pool.resume(l.pooled)
	}
	sentAt := l.group.config.Clock.Now()
	started := time.Now()
	answers, sent, err := l.pooled.conn.Exchange(deadline, statements...)
	if err != nil {
		l.endpoint.requestSample()
		l.observeOutcome(true)
		return answers, sent, err
	}
	last := answers[len(answers)-1]
	l.recordAcknowledged(statements[len(statements)-1], last)
	if appliesSession(statements[len(statements)-1]) {
		// It takes no slot, and the statement that it is for follows at once.
		return answers, sent, nil
	}
	l.observeAnswer(last, sentAt, time.Since(started))
	if last.TransactionState != rosemary.TransactionNone {
		l.endpoint.pool.rest(l.pooled)
	}
	return answers, sent, nil
}

// appliesSession reports whether a statement only changes the session of a connection.
func appliesSession(s rosemary.Statement) bool {
	switch s.Kind {
	case rosemary.StatementSet, rosemary.StatementPrepare, rosemary.StatementReset:
		return true
	}
	return false
}

// observeOutcome records whether an exchange failed.
func (l *ConnLease) observeOutcome(failed bool) {
	g := l.group
	g.mu.Lock()
	defer g.mu.Unlock()
	l.endpoint.reliability = l.endpoint.reliability.WithOutcome(failed, g.config.Clock.Now())
}

// observeAnswer records the position or the failure of an answer. Only successes,
// which have a digest, count for the mean response time.
func (l *ConnLease) observeAnswer(answer rosemary.Answer, sentAt time.Time, took time.Duration) {
	g, e := l.group, l.endpoint
	switch answer.Failure {
	case rosemary.FailureReadOnly:
		if l.term > 0 {
			g.observeNotPrimary(e)
		}
		return
	case rosemary.FailureLagging:
		g.mu.Lock()
		now := g.config.Clock.Now()
		e.behindUntil = now.Add(replicaBackoff)
		e.observeApplied(answer.Position, now)
		g.mu.Unlock()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.term == 0 {
		e.observeApplied(answer.Position, g.config.Clock.Now())
	}
	failed := answer.Failure == rosemary.FailureExecution || answer.Failure == rosemary.FailureTimeout
	if failed || answer.Digest != "" {
		e.reliability = e.reliability.WithOutcome(failed, g.config.Clock.Now())
	}
	if answer.Digest != "" {
		e.responseTime += time.Duration(responseTimeWeight * float64(took-e.responseTime))
	}
	if l.term > 0 && answer.Position.LogTerm == l.term {
		g.primaryTracker.ObservePosition(e.target.ID, l.term, answer.Position, sentAt, g.config.Clock.Now())
	}
}

// Release returns the connection to the pool, or closes it if it isn't reusable.
func (l *ConnLease) Release(reusable bool) {
	if reusable {
		l.endpoint.pool.put(l.pooled)
	} else {
		l.endpoint.pool.drop(l.pooled)
	}
}

func (e *endpoint) meanResponseTime() time.Duration {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.responseTime
}

// overloadedRefusal refuses a request whose wait for a connection would exceed its
// deadline.
func (e *endpoint) overloadedRefusal(wait time.Duration) *rosemary.Refusal {
	inUse, waiting, limit, holdTime := e.pool.load()
	return &rosemary.Refusal{
		Kind:    rosemary.KindOverloaded,
		Outcome: rosemary.OutcomeNotRun,
		Message: fmt.Sprintf("the wait for a connection to target %s would exceed the deadline (%d of %d connections in use, %d requests waiting, mean hold time %d ms, mean response time %d ms)",
			e.target.ID, inUse, limit, waiting, holdTime.Milliseconds(), e.meanResponseTime().Milliseconds()),
		Remedy:     "retry later, or raise the statement's timeout",
		RetryAfter: max(wait, time.Millisecond),
	}
}

// noTargetRefusal refuses a request that no target could serve in time. If it is for want
// of a primary, its client is told when one is expected.
func (g *Group) noTargetRefusal(request Request) *rosemary.Refusal {
	g.mu.Lock()
	retryAfter := g.outage.ReturnAfter(g.config.Clock.Now(), rand.Float64())
	g.mu.Unlock()
	kind, message := rosemary.KindNoReplica, "no target could serve the read before its deadline"
	if request.Primary {
		kind, message = rosemary.KindNoPrimary, "no primary could be verified before the deadline"
	}
	return &rosemary.Refusal{
		Kind:       kind,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    message,
		Remedy:     "retry; if this persists, check the group's targets",
		RetryAfter: retryAfter,
	}
}
