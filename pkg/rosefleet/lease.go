package rosefleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// farPenalty is added to the cost of a target in another availability
	// zone, about a round trip and the price of its bytes.
	farPenalty = 6 * time.Millisecond
	// leadPenalty keeps reads that a replica can serve off the primary.
	leadPenalty = 15 * time.Millisecond
	// behindPause is how long reads with a floor pass over a replica that
	// lacked one.
	behindPause = 60 * time.Millisecond
	// lagTime is how long a replica's lag is believed.
	lagTime = time.Second
	// choosePause separates looks at a group that has no target to offer.
	choosePause = 25 * time.Millisecond
	// leavingLimit is how long a primary that is leaving still gets new
	// work while no other has taken over.
	leavingLimit = 4 * time.Second
	// answerWeight is the weight of a new answer time in the mean.
	answerWeight = 0.1
)

// Request is what a statement needs of a target.
type Request struct {
	// Primary asks for the primary alone.
	Primary bool
	// Floor is what a replica's log must hold.
	MinPosition rosemary.Position
	Priority    int
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Aim is when the answer should be there.
	SoftDeadline time.Time
	// Owner names the session, which gets the link that it used last.
	Owner uint64
	// Avoid is passed over if another target will do.
	Avoid rosemary.TargetID
}

// Lease is a link for the sole use of one session.
type Lease struct {
	group *Group
	place *place
	held  *held
	// term is that which the target led when the lease began; zero for a
	// replica.
	term uint64
}

// Acquire chooses a target and returns a link to it. Nothing was sent on
// behalf of the session when it fails.
func (g *Group) Acquire(ctx context.Context, request Request) (*Lease, *rosemary.Refusal) {
	for {
		p, term, changed := g.choose(request)
		if p != nil {
			lease, refusal := g.lease(ctx, p, term, request)
			if lease != nil || refusal != nil {
				return lease, refusal
			}
		}
		if !time.Now().Before(request.Deadline) || p == nil && g.config.ZonePartitioned() {
			return nil, unserved(request)
		}
		if p == nil && !await(ctx, changed, request.Deadline) {
			return nil, unserved(request)
		}
	}
}

// await waits for a change, for a while, and reports false at the deadline.
func await(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(min(time.Until(deadline), choosePause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return time.Now().Before(deadline)
}

// choose returns the target to use, and the term it leads if it is primary.
func (g *Group) choose(request Request) (*place, uint64, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	lead, known := g.leadership.Primary()
	certain := known && g.config.AllowPrimary() && now.Before(lead.ValidUntil)
	if request.Primary {
		if p := g.places[lead.Target]; certain && p != nil && p.failingSince.IsZero() && !p.gone(now) {
			return p, lead.Term, g.changed
		}
		return nil, 0, g.changed
	}
	var best *place
	var least time.Duration
	for id, p := range g.places {
		cost, usable := g.cost(p, lead, certain, now, request)
		if usable && id == request.Avoid {
			cost += time.Second
		}
		if usable && (best == nil || cost < least) {
			best, least = p, cost
		}
	}
	if best != nil && certain && best.target.ID == lead.Target {
		return best, lead.Term, g.changed
	}
	return best, 0, g.changed
}

// caughtUp reports whether a replica is likely to hold floor by now, from how
// far behind it was when it last told. The lock is held.
func (g *Group) caughtUp(p *place, now time.Time, floor rosemary.Position) bool {
	reached := g.leadership.ReachedAt(floor)
	if reached.IsZero() {
		reached = now
	}
	return !now.Add(-p.lag).Before(reached) || now.Sub(p.lagAt) > lagTime
}

// gone reports whether a leaving target gets no new work, whatever its role.
func (p *place) gone(now time.Time) bool {
	return p.leaving && now.Sub(p.leavingSince) > leavingLimit
}

// cost estimates the time to an answer of p. The lock is held.
func (g *Group) cost(p *place, lead rosegroup.PrimaryLease, certain bool, now time.Time, request Request) (time.Duration, bool) {
	status, _, seen := g.leadership.Status(p.target.ID)
	if !seen || !p.failingSince.IsZero() {
		return 0, false
	}
	leads := p.target.ID == lead.Target
	switch {
	case leads && (!certain || p.gone(now)):
		return 0, false
	case !leads && now.Before(p.behindTill) && !g.caughtUp(p, now, request.MinPosition):
		return 0, false
	case !leads && (request.MinPosition.IsZero() || status.Role != rosemary.RoleReplica || p.leaving):
		return 0, false
	}
	inUse, waiting, limit, _ := p.pool.load()
	ahead := float64(inUse+waiting) / float64(max(limit, 1))
	answer := max(p.answerTime, time.Millisecond)
	cost := time.Duration(float64(answer) * (1 + ahead) * (0.95 + rand.Float64()/10))
	if waiting > 0 {
		cost += answer * time.Duration(waiting) / time.Duration(max(limit, 1))
	}
	if p.target.Zone != g.config.Zone {
		cost += farPenalty
	}
	if leads {
		cost += leadPenalty
	}
	return cost, true
}

// lease takes a link. It returns neither lease nor refusal when the choice no
// longer holds.
func (g *Group) lease(ctx context.Context, p *place, term uint64, request Request) (*Lease, *rosemary.Refusal) {
	request.SoftDeadline = request.SoftDeadline.Add(-p.meanAnswer())
	if wait, worthwhile := p.pool.admit(request); !worthwhile {
		return nil, p.overloaded(wait)
	}
	h, ok, w := p.pool.take(request)
	if w != nil {
		var refusal *rosemary.Refusal
		if h, ok, refusal = p.wait(ctx, w, request); refusal != nil {
			return nil, refusal
		}
	}
	if !ok {
		return nil, nil
	}
	lease := &Lease{group: g, place: p, held: h, term: term}
	if h == nil {
		var err error
		if h, err = p.dial(ctx); err != nil {
			g.dialFailed(p, err)
			return nil, nil
		}
		lease.held = h
	}
	h.owner = request.Owner
	if term > 0 && !lease.StillPrimary() {
		p.pool.put(h)
		return nil, nil
	}
	return lease, nil
}

// wait waits for a link until the deadline.
func (p *place) wait(ctx context.Context, w *waiter, request Request) (*held, bool, *rosemary.Refusal) {
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case granted := <-w.granted:
		if granted.shed {
			wait, _ := p.pool.admit(request)
			return nil, false, p.overloaded(wait)
		}
		return granted.held, granted.ok, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	p.pool.abandon(w)
	wait, _ := p.pool.admit(request)
	return nil, false, p.overloaded(wait)
}

func (g *Group) dialFailed(p *place, err error) {
	if trace.IsLimitExceeded(err) {
		g.mu.Lock()
		p.behindTill = g.config.Clock.Now().Add(behindPause)
		g.mu.Unlock()
		time.Sleep(choosePause)
		return
	}
	g.fail(p, g.config.Clock.Now(), err)
}

// Target returns the target that the lease is on.
func (l *Lease) Target() rosemary.TargetID { return l.place.target.ID }

// Primary reports whether the lease was taken on the primary.
func (l *Lease) Primary() bool { return l.term > 0 }

// SessionState returns what the link's last user left on it, nil for a new link.
func (l *Lease) SessionState() any { return l.held.memo }

// SetSessionState records what is left on the link.
func (l *Lease) SetSessionState(memo any) { l.held.memo = memo }

// StillPrimary reports whether the target still leads the term that it led when
// the lease began. An answer that arrived while it does wasn't given by a
// primary that had been replaced.
func (l *Lease) StillPrimary() bool {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	return l.group.config.AllowPrimary() && l.group.leadership.IsPrimary(l.place.target.ID, l.term, l.group.config.Clock.Now())
}

// Exchange runs statements on the link and learns from their answers.
func (l *Lease) Exchange(deadline time.Time, statements ...rosemary.Statement) ([]rosemary.Answer, bool, error) {
	sentAt := l.group.config.Clock.Now()
	started := time.Now()
	answers, sent, err := l.held.link.Exchange(deadline, statements...)
	if err != nil {
		l.place.nudge()
		return answers, sent, err
	}
	l.learn(answers[len(answers)-1], sentAt, time.Since(started))
	return answers, sent, nil
}

// learn takes in the position and the failure of an answer.
func (l *Lease) learn(answer rosemary.Answer, sentAt time.Time, took time.Duration) {
	g, p := l.group, l.place
	switch answer.Failure {
	case rosemary.FailureReadOnly:
		if l.term > 0 {
			g.deposed(p)
		}
		return
	case rosemary.FailureLagging:
		g.mu.Lock()
		now := g.config.Clock.Now()
		p.behindTill = now.Add(behindPause)
		p.noteApplied(answer.Position, now)
		g.mu.Unlock()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.term == 0 {
		p.noteApplied(answer.Position, g.config.Clock.Now())
	}
	if answer.Digest != "" {
		p.answerTime += time.Duration(answerWeight * float64(took-p.answerTime))
	}
	if l.term > 0 && answer.Position.LogTerm == l.term {
		g.leadership.ObservePosition(p.target.ID, l.term, answer.Position, sentAt, g.config.Clock.Now())
	}
}

// Release gives the link back; one in doubt is closed.
func (l *Lease) Release(good bool) {
	if good {
		l.place.pool.put(l.held)
	} else {
		l.place.pool.drop(l.held)
	}
}

func (p *place) meanAnswer() time.Duration {
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	return p.answerTime
}

// overloaded refuses a request whose wait for a link would pass its deadline.
func (p *place) overloaded(wait time.Duration) *rosemary.Refusal {
	inUse, waiting, limit, hold := p.pool.load()
	return &rosemary.Refusal{
		Kind:    rosemary.KindOverloaded,
		Outcome: rosemary.OutcomeNotRun,
		Message: fmt.Sprintf("the wait for target %s would pass the deadline (%d of %d links in use, %d wait, held %d ms, answers take %d ms)",
			p.target.ID, inUse, limit, waiting, hold.Milliseconds(), p.meanAnswer().Milliseconds()),
		Remedy:     "retry later, or raise the statement's timeout",
		RetryAfter: max(wait, time.Millisecond),
	}
}

func unserved(request Request) *rosemary.Refusal {
	kind, message := rosemary.KindNoReplica, "no target could serve the read before its deadline"
	if request.Primary {
		kind, message = rosemary.KindNoPrimary, "no primary could be relied on before the deadline"
	}
	return &rosemary.Refusal{
		Kind:       kind,
		Outcome:    rosemary.OutcomeNotRun,
		Message:    message,
		Remedy:     "retry; if it lasts, look at the group's targets",
		RetryAfter: rosegroup.PrimaryLeaseTime,
	}
}
