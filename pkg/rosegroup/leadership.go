package rosegroup

import (
	"sort"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// PrimaryLeaseTime is how long after a witness was asked its word may be
	// relied on. Who promotes waits as long after its last fence.
	PrimaryLeaseTime = 900 * time.Millisecond
	// witnessSeason is how long a replica has to be seen without a fence
	// before its word alone is enough: a restart ends a fence, and a
	// promotion that was ordered before it takes effect within this time.
	witnessSeason = 1200 * time.Millisecond
	// floorMemory is how long positions of the primary are kept; classes
	// that accept older data are served as if they accepted this age.
	floorMemory = 10 * time.Second
	// floorSpacing thins the positions kept.
	floorSpacing = 20 * time.Millisecond
)

// Leadership tells who leads a group whose primary is replaced by others'
// order, and until when that may be relied on. A promotion fences every
// replica and then waits PermissionTime, so a replica that was seen without a
// fence less than PermissionTime ago proves that no promotion has taken
// effect. It isn't safe for concurrent use, and it knows only the times that
// it is given; they must come from a clock that counts suspended time.
type Leadership struct {
	seats map[rosemary.TargetID]*seat
	term  uint64
	marks []mark
	// barred is the newest term that isn't to be relied on any more.
	barred uint64
}

// seat is what is known of one target.
type seat struct {
	status rosemary.Status
	sentAt time.Time
	seen   bool
	// freeSince is since when the target was seen without a fence.
	freeSince time.Time
}

// mark is a position that the primary had passed at a time.
type mark struct {
	at       time.Time
	position rosemary.Position
}

// NewLeadership returns a leadership that knows no target.
func NewLeadership() *Leadership {
	return &Leadership{seats: make(map[rosemary.TargetID]*seat)}
}

// SetTargets replaces the targets of the group. What is known of those that
// stay is kept.
func (l *Leadership) SetTargets(ids []rosemary.TargetID) {
	seats := make(map[rosemary.TargetID]*seat, len(ids))
	for _, id := range ids {
		if s := l.seats[id]; s != nil {
			seats[id] = s
		} else {
			seats[id] = &seat{}
		}
	}
	l.seats = seats
}

// Observe takes in a status that was asked for at sentAt.
func (l *Leadership) Observe(status rosemary.Status, sentAt time.Time) {
	s := l.seats[status.Target]
	if s == nil || s.seen && sentAt.Before(s.sentAt) {
		return
	}
	fence := s.fence()
	s.status, s.sentAt, s.seen = status, sentAt, true
	l.term = max(l.term, status.Term, status.Position.LogTerm)
	switch {
	case !s.free():
		s.freeSince = time.Time{}
	case s.freeSince.IsZero() && fence > 0 && status.Term >= fence:
		// The term of its fence has begun, so the fence isn't lost.
		s.freeSince = sentAt.Add(-witnessSeason)
	case s.freeSince.IsZero():
		s.freeSince = sentAt
	}
}

// SharedStatus is a status with the time at which it was asked for, and since when
// the target had then been seen without a fence.
type SharedStatus struct {
	Status        rosemary.Status
	SentAt        time.Time
	UnfencedSince time.Time
}

// RecentStatuses returns the statuses asked for since a time.
func (l *Leadership) RecentStatuses(since time.Time) []SharedStatus {
	var shared []SharedStatus
	for _, s := range l.seats {
		if s.seen && !s.sentAt.Before(since) {
			shared = append(shared, SharedStatus{s.status, s.sentAt, s.freeSince})
		}
	}
	return shared
}

// ObserveShared takes in a status that another proxy has asked for. Of both
// proxies' words on a restart of the target the later one counts.
func (l *Leadership) ObserveShared(shared SharedStatus) {
	s := l.seats[shared.Status.Target]
	if s == nil || s.seen && shared.SentAt.Before(s.sentAt) {
		return
	}
	l.Observe(shared.Status, shared.SentAt)
	if !s.free() || shared.UnfencedSince.IsZero() {
		return
	}
	known := s.sentAt.Sub(s.freeSince) > 0
	if !known || shared.UnfencedSince.After(s.freeSince) {
		s.freeSince = shared.UnfencedSince
	}
}

// fence is the term that the target was last seen fenced for, zero for none
// or if it may have restarted since.
func (s *seat) fence() uint64 {
	if !s.seen {
		return 0
	}
	return s.status.PausedTerm
}

// free reports whether the target is a replica that isn't fenced.
func (s *seat) free() bool {
	return s.seen && s.status.Role == rosemary.RoleReplica && s.status.PausedTerm == 0
}

// ObserveNotPrimary records that a target refused work that only a primary takes.
func (l *Leadership) ObserveNotPrimary(id rosemary.TargetID) {
	if s := l.seats[id]; s != nil {
		s.status.Role = rosemary.RoleReplica
	}
}

// RevokePrimary gives up the permission to rely on the primary of term and of earlier
// ones, as somebody is about to replace it.
func (l *Leadership) RevokePrimary(term uint64) { l.barred = max(l.barred, term) }

// ObservePossibleRestart records that a target may have restarted: its pause, if it had one,
// may be over.
func (l *Leadership) ObservePossibleRestart(id rosemary.TargetID) {
	if s := l.seats[id]; s != nil {
		s.freeSince = time.Time{}
		s.seen = false
	}
}

// PrimaryLease is who leads a group.
type PrimaryLease struct {
	Target rosemary.TargetID
	Term   uint64
	// Until is when the permission to rely on it ends.
	ValidUntil time.Time
}

// Primary returns the primary of the newest term, and until when it is certain
// that no other has taken over. It reports false when no primary is known.
func (l *Leadership) Primary() (PrimaryLease, bool) {
	for id, s := range l.seats {
		if s.status.Role != rosemary.RolePrimary || s.status.Term != l.term || l.term == 0 {
			continue
		}
		lead := PrimaryLease{Target: id, Term: l.term}
		if l.term > l.barred {
			lead.ValidUntil = l.until(id)
		}
		return lead, true
	}
	return PrimaryLease{}, false
}

// until returns the end of the permission to use primary.
func (l *Leadership) until(primary rosemary.TargetID) time.Time {
	var best, least time.Time
	witnesses, free := 0, 0
	for id, s := range l.seats {
		if id == primary {
			continue
		}
		witnesses++
		if !s.free() || s.freeSince.IsZero() || s.status.Term > l.term {
			continue
		}
		free++
		if least.IsZero() || s.sentAt.Before(least) {
			least = s.sentAt
		}
		if s.sentAt.Sub(s.freeSince) >= witnessSeason && s.sentAt.After(best) {
			best = s.sentAt
		}
	}
	if witnesses == 0 {
		// Nothing else can be promoted.
		return l.seats[primary].sentAt.Add(PrimaryLeaseTime)
	}
	if free == witnesses && least.After(best) {
		best = least
	}
	if best.IsZero() {
		return best
	}
	return best.Add(PrimaryLeaseTime)
}

// IsPrimary reports whether at now the target is certain to lead term.
func (l *Leadership) IsPrimary(id rosemary.TargetID, term uint64, now time.Time) bool {
	lead, known := l.Primary()
	return known && lead.Target == id && lead.Term == term && now.Before(lead.ValidUntil)
}

// ObservePosition records that the primary of term had reached position when it was
// asked at sentAt, if it is certain at now to lead still.
func (l *Leadership) ObservePosition(id rosemary.TargetID, term uint64, position rosemary.Position, sentAt, now time.Time) {
	if position.IsZero() || !l.IsPrimary(id, term, now) {
		return
	}
	size := len(l.marks)
	if size > 0 && sentAt.Sub(l.marks[size-1].at) < floorSpacing {
		return
	}
	l.marks = append(l.marks, mark{at: sentAt, position: position})
	old := 0
	for old < len(l.marks) && now.Sub(l.marks[old].at) > floorMemory {
		old++
	}
	l.marks = l.marks[old:]
}

// MinPosition returns a position that holds every commit acknowledged before since:
// the least one known. It reports false when none is known.
func (l *Leadership) MinPosition(since time.Time) (rosemary.Position, bool) {
	for _, m := range l.marks {
		if !m.at.Before(since) {
			return m.position, true
		}
	}
	return rosemary.Position{}, false
}

// ReachedAt returns when the primary was first known to be at position or beyond
// it; zero if it wasn't yet.
func (l *Leadership) ReachedAt(position rosemary.Position) time.Time {
	at := sort.Search(len(l.marks), func(i int) bool { return l.marks[i].position.AtLeast(position) })
	if at == len(l.marks) {
		return time.Time{}
	}
	return l.marks[at].at
}

// Lag returns how far behind the primary a replica was that had applied
// position at the time at.
func (l *Leadership) Lag(position rosemary.Position, at time.Time) time.Duration {
	next := sort.Search(len(l.marks), func(i int) bool { return l.marks[i].position.Compare(position) > 0 })
	if next == len(l.marks) {
		return 0
	}
	return max(at.Sub(l.marks[next].at), 0)
}

// Status returns what is known of a target, when it was asked for, and
// whether anything is known.
func (l *Leadership) Status(id rosemary.TargetID) (rosemary.Status, time.Time, bool) {
	s := l.seats[id]
	if s == nil || !s.seen {
		return rosemary.Status{}, time.Time{}, false
	}
	return s.status, s.sentAt, true
}

// Term returns the newest term seen.
func (l *Leadership) Term() uint64 { return l.term }
