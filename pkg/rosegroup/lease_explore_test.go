package rosegroup

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// The tests below explore the interleavings of a promoter, which fences the
// replicas and has the platform promote one, with a proxy that samples the
// replicas. They cover slow answers, restarts of replicas that end a fence, and
// promotions that take effect late.

const (
	// tickDuration is the unit of time of the model.
	tickDuration = 300 * time.Millisecond
	// maxTicks is the length of an execution.
	maxTicks = 8
	// leaseTicks is the promoter's wait, PrimaryLeaseTime in ticks.
	leaseTicks = int(PrimaryLeaseTime / tickDuration)
	// maxPromotionTicks is the longest time from an order to its effect.
	maxPromotionTicks = 3
	// maxRestarts is the maximum number of replica restarts in an execution.
	maxRestarts = 1
)

// promoterSafeguards are the steps that a promoter must not leave out; the zero
// value leaves out all of them.
type promoterSafeguards struct {
	waitsForLease  bool
	rechecksFences bool
}

// modelState is one state of the model.
type modelState struct {
	now int
	// fenced is set for each replica that is fenced.
	fenced [2]bool
	// fencedAt is when the promoter fenced the last replica; -1 before.
	fencedAt int
	// recheckedAt is when the promoter checked both fences again; -1 before.
	recheckedAt int
	// promotedAt is when the promotion takes effect; -1 before the order.
	promotedAt int
	restarts   int
	// restarted is set for a replica whose restart the proxy has not noticed.
	restarted [2]bool
	// queried is the replica whose status the proxy has requested, -1 for none;
	// queriedAt is when it did. response is what the replica sent if answered is
	// set; the proxy hasn't received it yet.
	queried   int
	queriedAt int
	answered  bool
	response  replicaState
	tracker   *PrimaryTracker
}

var modelReplicas = [2]rosemary.TargetID{"r-1", "r-2"}

func at(tick int) time.Time { return time.Unix(1000, 0).Add(time.Duration(tick) * tickDuration) }

// replicaState is what a replica reports. It follows the new primary, and reports
// its term, as soon as the promotion has taken effect.
type replicaState struct {
	fenced   bool
	promoted bool
}

func (r replicaState) status(id rosemary.TargetID) rosemary.Status {
	status := rosemary.Status{Target: id, Role: rosemary.RoleReplica, Term: 1, Position: rosemary.Position{LogTerm: 1, Offset: 1}}
	switch {
	case r.promoted:
		status.Term = 2
	case r.fenced:
		status.PausedTerm = 2
	}
	return status
}

func initialState() modelState {
	l := NewPrimaryTracker()
	l.SetTargets([]rosemary.TargetID{"p", modelReplicas[0], modelReplicas[1]})
	l.Observe(rosemary.Status{Target: "p", Role: rosemary.RolePrimary, Term: 1, Position: rosemary.Position{LogTerm: 1, Offset: 1}}, at(0))
	for _, id := range modelReplicas {
		l.ObserveShared(SharedStatus{Status: replicaState{}.status(id), SentAt: at(0), UnfencedSince: at(-10)})
	}
	return modelState{fencedAt: -1, recheckedAt: -1, promotedAt: -1, queried: -1, tracker: l}
}

// with returns a copy of the state with a change applied.
func (m modelState) with(change func(*modelState)) modelState {
	l := *m.tracker
	l.targets = make(map[rosemary.TargetID]*targetState, len(m.tracker.targets))
	for id, s := range m.tracker.targets {
		copied := *s
		l.targets[id] = &copied
	}
	m.tracker = &l
	change(&m)
	return m
}

func (m modelState) key() string {
	text := fmt.Sprint(m.now, m.fenced, m.fencedAt, m.recheckedAt, m.promotedAt, m.restarts, m.restarted, m.queried, m.queriedAt, m.answered, m.response)
	for _, id := range modelReplicas {
		s := m.tracker.targets[id]
		text += fmt.Sprint(" ", s.seen, s.status.PausedTerm, s.status.Term, s.sentAt.UnixMilli(), s.unfencedSince.UnixMilli())
	}
	return text
}

// steps returns the possible next states.
func (m modelState) steps(safeguards promoterSafeguards) []modelState {
	next := []modelState{m.with(func(n *modelState) { n.now++ })}
	for r := range modelReplicas {
		if m.queried < 0 {
			next = append(next, m.with(func(n *modelState) { n.queried, n.queriedAt, n.answered = r, n.now, false }))
		}
		if !m.fenced[r] && m.promotedAt < 0 {
			next = append(next, m.with(func(n *modelState) {
				n.fenced[r], n.recheckedAt = true, -1
				if n.fenced[0] && n.fenced[1] {
					n.fencedAt = n.now
				}
			}))
		}
		if m.fenced[r] && m.restarts < maxRestarts {
			next = append(next, m.with(func(n *modelState) { n.restart(r) }))
		}
	}
	if m.queried >= 0 && !m.answered {
		next = append(next, m.with(func(n *modelState) { n.answered, n.response = true, replicaState{n.fenced[n.queried], n.promoted()} }))
	}
	if m.queried >= 0 && m.answered {
		next = append(next, m.with(func(n *modelState) {
			if n.restarted[n.queried] {
				// The request was sent on a new connection.
				n.restarted[n.queried] = false
				n.tracker.ObservePossibleRestart(modelReplicas[n.queried])
			}
			n.tracker.Observe(n.response.status(modelReplicas[n.queried]), at(n.queriedAt))
			n.queried = -1
		}))
	}
	return append(next, m.promoterSteps(safeguards)...)
}

func (m modelState) promoted() bool { return m.promotedAt >= 0 && m.now >= m.promotedAt }

// restart ends a replica's fence and the connections to it.
func (m *modelState) restart(replica int) {
	m.fenced[replica], m.restarted[replica] = false, true
	m.restarts++
	if m.queried == replica {
		m.queried = -1
	}
}

// promoterSteps returns the next states by a step of the promoter: it waits,
// checks the fences again, and orders the promotion.
func (m modelState) promoterSteps(safeguards promoterSafeguards) []modelState {
	waited := m.fencedAt >= 0 && (!safeguards.waitsForLease || m.now-m.fencedAt >= leaseTicks)
	if !waited || m.promotedAt >= 0 {
		return nil
	}
	if safeguards.rechecksFences && (m.recheckedAt < 0 || m.now > m.recheckedAt) {
		if !m.fenced[0] || !m.fenced[1] {
			return nil
		}
		return []modelState{m.with(func(n *modelState) { n.recheckedAt = n.now })}
	}
	return []modelState{
		m.with(func(n *modelState) { n.promotedAt = n.now + 1 }),
		m.with(func(n *modelState) { n.promotedAt = n.now + maxPromotionTicks }),
	}
}

// violated reports whether the proxy relies on the primary after the promotion
// has taken effect.
func (m modelState) violated() bool {
	return m.promoted() && m.tracker.IsPrimary("p", 1, at(m.now))
}

// explore returns the number of states visited, and the first violation.
func explore(safeguards promoterSafeguards, limit int) (int, *modelState) {
	seen := map[string]bool{}
	stack := []modelState{initialState()}
	for len(stack) > 0 && len(seen) < limit {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if m.violated() {
			return len(seen), &m
		}
		for _, n := range m.steps(safeguards) {
			key := n.key()
			if n.now <= maxTicks && !seen[key] {
				seen[key] = true
				stack = append(stack, n)
			}
		}
	}
	return len(seen), nil
}

// maxStates limits the exploration to a part of the state space.
const maxStates = 60_000

func TestNoPrimaryLeaseOutlivesAPromotion(t *testing.T) {
	states, violated := explore(promoterSafeguards{waitsForLease: true, rechecksFences: true}, maxStates)
	t.Logf("%d states", states)
	qt.Check(t, violated == nil, qt.IsTrue, qt.Commentf("%+v", violated))
}

// The exploration must find a violation if the promoter doesn't wait for primary
// leases to end.
func TestExplorationFindsPromoterThatDoesNotWait(t *testing.T) {
	states, violated := explore(promoterSafeguards{rechecksFences: true}, maxStates)
	t.Logf("%d states", states)
	qt.Check(t, violated != nil, qt.IsTrue)
}

// TestNoPermissionOutlivesALateOrder replays a promotion that takes effect five
// ticks after the fences were checked again. By then a replica that has restarted
// extends the old primary's lease. The test is listed in KNOWN-RED.txt.
func TestNoPermissionOutlivesALateOrder(t *testing.T) {
	const recheckedAt, promotedAt = leaseTicks, leaseTicks + 5
	m := initialState()
	m.fenced = [2]bool{true, true}
	m.restart(1)
	m.tracker.ObservePossibleRestart(modelReplicas[1])
	for _, sentAt := range []int{recheckedAt, promotedAt - 1} {
		m.tracker.Observe(replicaState{}.status(modelReplicas[1]), at(sentAt))
	}
	qt.Check(t, m.tracker.IsPrimary("p", 1, at(promotedAt)), qt.IsFalse)
}
