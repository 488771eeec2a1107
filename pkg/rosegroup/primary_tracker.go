package rosegroup

import (
	"sort"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// PrimaryLeaseTime is how long the status of an unfenced replica proves,
	// from the time it was requested, that the primary was not replaced. A
	// promotion waits as long after its last fence.
	PrimaryLeaseTime = 900 * time.Millisecond
	// MaxPromotionTime is how long after its order a promotion takes effect at the
	// latest.
	MaxPromotionTime = 2700 * time.Millisecond
	// minUnfencedTime is how long a replica must have been unfenced before its
	// status extends the primary lease without an answer of another replica: a restart
	// ends a fence, and a promotion may have been ordered before the restart.
	minUnfencedTime = MaxPromotionTime
	// positionRetention is how long positions of the primary are kept. Classes
	// that accept older data are served as if they accepted this age.
	positionRetention = 10 * time.Second
	// minPositionInterval separates the positions kept, to limit their number.
	minPositionInterval = 20 * time.Millisecond
)

// PrimaryTracker tracks the primary of a group whose promotions are ordered by
// other processes, and how long this process may rely on it: the primary
// lease. A promotion fences every replica and then waits PrimaryLeaseTime, so
// a replica that was unfenced less than PrimaryLeaseTime ago proves that no
// promotion has taken effect. A replica is fenced while its Status.PausedTerm is
// set: it rejects its primary's log (see rosemary.Conn.Pause).
//
// A PrimaryTracker isn't safe for concurrent use. It reads no clock; the times
// passed in must come from one that counts suspended time.
type PrimaryTracker struct {
	targets map[rosemary.TargetID]*targetState
	// set tells which targets prove leases; if it is zero, all do.
	set       TargetSet
	term      uint64
	positions []timedPosition
	// revokedTerm is the highest term whose primary must not be used, as it is being
	// replaced, and revokedAt when this was last said. It ends with a guarantee asked for
	// later.
	revokedTerm uint64
	revokedAt   time.Time
	// guaranteedUntil is the time before which the primary of guaranteedTerm isn't
	// replaced, by the word of the only process that may.
	guaranteedTerm  uint64
	guaranteedUntil time.Time
	// lastProvenAt is when the replicas last proved that the primary of provenTerm had
	// not been replaced.
	provenTerm   uint64
	lastProvenAt time.Time
	// lastPrimary is the status of the primary of the newest term of which one is known,
	// as it was while it was primary, and lastPrimaryAt when it was requested.
	lastPrimary   rosemary.Status
	lastPrimaryAt time.Time
}

// targetState is what is known of one target.
type targetState struct {
	status rosemary.Status
	sentAt time.Time
	seen   bool
	// unfencedSince is since when the target has been unfenced without a
	// possible restart; zero if it is fenced or that isn't known.
	unfencedSince time.Time
	// lastUnfencedAt is when the newest status that showed the target unfenced was
	// requested, also from an earlier run of it.
	lastUnfencedAt time.Time
	// lastFencedTerm is the term of the last fence seen, and lastFencedAt when the newest
	// status that showed it was requested.
	lastFencedTerm uint64
	lastFencedAt   time.Time
}

// timedPosition is a position that the primary had reached at a time.
type timedPosition struct {
	at       time.Time
	position rosemary.Position
}

// NewPrimaryTracker returns a tracker without targets.
func NewPrimaryTracker() *PrimaryTracker {
	return &PrimaryTracker{targets: make(map[rosemary.TargetID]*targetState)}
}

// SetTargets replaces the targets of the group, and keeps the state of those
// that stay.
func (t *PrimaryTracker) SetTargets(ids []rosemary.TargetID) {
	targets := make(map[rosemary.TargetID]*targetState, len(ids))
	for _, id := range ids {
		if s := t.targets[id]; s != nil {
			targets[id] = s
		} else {
			targets[id] = &targetState{}
		}
	}
	t.targets = targets
}

// Observe records a status that was requested at sentAt.
func (t *PrimaryTracker) Observe(status rosemary.Status, sentAt time.Time) {
	s := t.targets[status.Target]
	if s == nil || s.seen && sentAt.Before(s.sentAt) {
		return
	}
	fencedTerm := s.fencedTerm()
	s.status, s.sentAt, s.seen = status, sentAt, true
	t.term = max(t.term, status.Term, status.Position.LogTerm)
	if status.Role == rosemary.RolePrimary && status.Term >= t.lastPrimary.Term {
		t.lastPrimary, t.lastPrimaryAt = status, sentAt
	}
	if status.PausedTerm == 0 {
		s.lastUnfencedAt = sentAt
	} else {
		s.lastFencedTerm, s.lastFencedAt = status.PausedTerm, sentAt
	}
	switch {
	case !s.unfenced():
		s.unfencedSince = time.Time{}
	case s.unfencedSince.IsZero() && fencedTerm > 0 && status.Term >= fencedTerm:
		// The fence ended because its term began, not by a restart.
		s.unfencedSince = sentAt.Add(-minUnfencedTime)
	case s.unfencedSince.IsZero():
		s.unfencedSince = sentAt
	}
	if s.fencedTermBegan() && s.unfencedSince.After(sentAt.Add(-minUnfencedTime)) {
		s.unfencedSince = sentAt.Add(-minUnfencedTime)
	}
	t.recordProof()
}

// fencedTermBegan reports whether the target, unfenced now, was fenced so lately for a term
// that has begun that no later promotion can have been ordered: that takes a fence for a
// later term, seen neither then nor now, and PrimaryLeaseTime after it. A replica may show
// the end of its fence before the new term.
func (s *targetState) fencedTermBegan() bool {
	return s.unfenced() && s.lastFencedTerm > 0 && s.status.Term >= s.lastFencedTerm && s.sentAt.Sub(s.lastFencedAt) < PrimaryLeaseTime
}

// recordProof updates lastProvenAt.
func (t *PrimaryTracker) recordProof() {
	primary, known := t.Primary()
	if !known {
		return
	}
	if primary.Term != t.provenTerm {
		t.provenTerm, t.lastProvenAt = primary.Term, time.Time{}
	}
	if provenAt := t.provenAt(primary.Target); provenAt.After(t.lastProvenAt) {
		t.lastProvenAt = provenAt
	}
}

// SharedStatus is a status that one proxy passes on to another, with the time
// at which it was requested and since when the target was unfenced.
type SharedStatus struct {
	Status        rosemary.Status
	SentAt        time.Time
	UnfencedSince time.Time
}

// RecentStatuses returns the statuses requested at or after since.
func (t *PrimaryTracker) RecentStatuses(since time.Time) []SharedStatus {
	var shared []SharedStatus
	for _, s := range t.targets {
		if s.seen && !s.sentAt.Before(since) {
			shared = append(shared, SharedStatus{s.status, s.sentAt, s.unfencedSince})
		}
	}
	return shared
}

// ObserveShared records a status that another proxy has requested. If the two
// proxies differ on since when the target is unfenced, the later time counts:
// one of them may have noticed a restart.
func (t *PrimaryTracker) ObserveShared(shared SharedStatus) {
	s := t.targets[shared.Status.Target]
	if s == nil || s.seen && shared.SentAt.Before(s.sentAt) {
		return
	}
	t.Observe(shared.Status, shared.SentAt)
	if !s.unfenced() || shared.UnfencedSince.IsZero() {
		return
	}
	unfencedBefore := s.sentAt.Sub(s.unfencedSince) > 0
	if !unfencedBefore || shared.UnfencedSince.After(s.unfencedSince) {
		s.unfencedSince = shared.UnfencedSince
	}
	t.recordProof()
}

// fencedTerm returns the term that the target was last known to be fenced for;
// zero if none, or if the target may have restarted since.
func (s *targetState) fencedTerm() uint64 {
	if !s.seen {
		return 0
	}
	return s.status.PausedTerm
}

// unfenced reports whether the target is a replica that isn't fenced.
func (s *targetState) unfenced() bool {
	return s.seen && s.status.Role == rosemary.RoleReplica && s.status.PausedTerm == 0
}

// ObserveNotPrimary records that a target refused work because it isn't the
// primary.
func (t *PrimaryTracker) ObserveNotPrimary(id rosemary.TargetID) {
	if s := t.targets[id]; s != nil {
		s.status.Role = rosemary.RoleReplica
	}
}

// RevokePrimary ends the lease on the primaries of term and of earlier terms,
// because a replacement is under way at a time.
func (t *PrimaryTracker) RevokePrimary(term uint64, at time.Time) {
	t.revokedTerm = max(t.revokedTerm, term)
	if term == t.revokedTerm && at.After(t.revokedAt) {
		t.revokedAt = at
	}
}

// Revoked reports whether the primary of the newest term must not be used.
func (t *PrimaryTracker) Revoked() bool { return t.term > 0 && t.term <= t.revokedTerm }

// ObserveGuarantee records that the holder of the group's failover lock, without whom
// no primary is replaced, was asked at a time and guarantees that it doesn't replace that of
// term before until. This keeps the primary lease valid while no replica can be reached. It
// also says that a replacement that had the primary revoked before was given up, and that none
// of its orders can take effect any more.
func (t *PrimaryTracker) ObserveGuarantee(term uint64, askedAt, until time.Time) {
	if term == t.revokedTerm && askedAt.After(t.revokedAt) && until.After(askedAt) {
		t.revokedTerm = term - 1
	}
	if term > t.guaranteedTerm {
		t.guaranteedTerm, t.guaranteedUntil = term, time.Time{}
	}
	if term == t.guaranteedTerm && until.After(t.guaranteedUntil) {
		t.guaranteedUntil = until
	}
}

// ObservePossibleRestart records that a target may have restarted, which would
// have ended its fence.
func (t *PrimaryTracker) ObservePossibleRestart(id rosemary.TargetID) {
	if s := t.targets[id]; s != nil {
		s.unfencedSince = time.Time{}
		s.lastFencedTerm = 0
		s.seen = false
	}
}

// PrimaryLease is the primary of a group and how long it may be relied on.
type PrimaryLease struct {
	Target rosemary.TargetID
	Term   uint64
	// ValidUntil is the time before which no other target has taken over.
	ValidUntil time.Time
}

// Primary returns the primary of the newest term with its lease, which may have
// ended. It reports false when no primary is known.
func (t *PrimaryTracker) Primary() (PrimaryLease, bool) {
	for id, s := range t.targets {
		if s.status.Role != rosemary.RolePrimary || s.status.Term != t.term || t.term == 0 {
			continue
		}
		lease := PrimaryLease{Target: id, Term: t.term}
		if !t.Revoked() {
			lease.ValidUntil = t.leaseEnd(id)
		}
		return lease, true
	}
	return PrimaryLease{}, false
}

// leaseEnd returns when the lease on primary ends: PrimaryLeaseTime after the replicas
// last proved it, or at the end of a guarantee. A primary that doesn't count is relied on by a
// guarantee only: the holder of the lock may not know that it has taken over.
func (t *PrimaryTracker) leaseEnd(primary rosemary.TargetID) time.Time {
	var end time.Time
	if provenAt := t.provenAt(primary); !provenAt.IsZero() && t.counts(primary) {
		end = provenAt.Add(PrimaryLeaseTime)
	}
	if t.guaranteedTerm == t.term && t.guaranteedUntil.After(end) {
		end = t.guaranteedUntil
	}
	return end
}

// LastPrimary returns the last status of the newest known primary, which may have been
// replaced since. It reports false if none was ever known.
func (t *PrimaryTracker) LastPrimary() (rosemary.Status, bool) {
	return t.lastPrimary, t.lastPrimary.Target != ""
}

// LastPrimarySeenAt returns when the status of LastPrimary was requested.
func (t *PrimaryTracker) LastPrimarySeenAt() time.Time { return t.lastPrimaryAt }

// ProvenAt returns the newest term, and when the replicas last proved that its primary
// had not been replaced; the time is zero if they haven't.
func (t *PrimaryTracker) ProvenAt() (uint64, time.Time) {
	if t.provenTerm != t.term {
		return t.term, time.Time{}
	}
	return t.term, t.lastProvenAt
}

// AdoptSet has the tracker go by a set if that is newer than the one before, and reports whether
// it is.
func (t *PrimaryTracker) AdoptSet(set TargetSet) bool {
	if set.Version.Compare(t.set.Version) <= 0 {
		return false
	}
	t.set = set
	return true
}

// Set returns the set that the tracker goes by, zero if there is none.
func (t *PrimaryTracker) Set() TargetSet { return t.set }

// provenAt returns the time of the newest status of a replica that proves that no
// promotion has taken effect; zero if there is none.
func (t *PrimaryTracker) provenAt(primary rosemary.TargetID) time.Time {
	if t.provesItself(primary) {
		// There is no other target to promote.
		return t.targets[primary].sentAt
	}
	var provenAt time.Time
	for id, s := range t.targets {
		if id != primary && t.counts(id) && s.sentAt.After(provenAt) && t.proves(id, primary) {
			provenAt = s.sentAt
		}
	}
	return provenAt
}

// provesItself reports whether the primary is the only target that counts.
func (t *PrimaryTracker) provesItself(primary rosemary.TargetID) bool {
	if t.set.IsZero() {
		return len(t.targets) == 1
	}
	return t.set.IsSole(primary)
}

// counts reports whether the statuses of a target prove leases.
func (t *PrimaryTracker) counts(id rosemary.TargetID) bool {
	return t.set.IsZero() || t.set.Contains(id)
}

// otherReplicas returns the targets that count but a replica and the primary. What isn't
// registered has no state.
func (t *PrimaryTracker) otherReplicas(replica, primary rosemary.TargetID) []*targetState {
	var others []*targetState
	add := func(id rosemary.TargetID) {
		if id != replica && id != primary {
			others = append(others, t.targets[id])
		}
	}
	if !t.set.IsZero() {
		for _, id := range t.set.Members {
			add(id)
		}
		return others
	}
	for id := range t.targets {
		add(id)
	}
	return others
}

// proves reports whether a replica's status proves that no promotion has taken effect.
// It does if the replica has been unfenced since a time at which every other one was
// unfenced too: a promotion fences all, and only a restart ends a fence of it. If
// another replica hasn't answered since, minUnfencedTime has to do.
func (t *PrimaryTracker) proves(id, primary rosemary.TargetID) bool {
	s := t.targets[id]
	if !s.unfenced() || s.unfencedSince.IsZero() || s.status.Term > t.term {
		return false
	}
	settled := s.sentAt.Sub(s.unfencedSince) >= minUnfencedTime
	for _, o := range t.otherReplicas(id, primary) {
		if o != nil && !o.lastUnfencedAt.Before(s.unfencedSince) {
			continue
		}
		answered := o != nil && o.seen && !o.sentAt.Before(s.unfencedSince)
		if answered || !settled {
			return false
		}
	}
	return true
}

// IsPrimary reports whether the target is certain to be the primary of term at
// now.
func (t *PrimaryTracker) IsPrimary(id rosemary.TargetID, term uint64, now time.Time) bool {
	lease, known := t.Primary()
	return known && lease.Target == id && lease.Term == term && now.Before(lease.ValidUntil)
}

// ObservePosition records a position that the target reported in response to a
// request sent at sentAt, if it is certain to be the primary of term at now.
func (t *PrimaryTracker) ObservePosition(id rosemary.TargetID, term uint64, position rosemary.Position, sentAt, now time.Time) {
	if position.IsZero() || !t.IsPrimary(id, term, now) {
		return
	}
	size := len(t.positions)
	if size > 0 && sentAt.Sub(t.positions[size-1].at) < minPositionInterval {
		return
	}
	t.positions = append(t.positions, timedPosition{at: sentAt, position: position})
	expired := 0
	for expired < len(t.positions) && now.Sub(t.positions[expired].at) > positionRetention {
		expired++
	}
	t.positions = t.positions[expired:]
}

// MinPosition returns the lowest known position that includes every commit
// acknowledged before since. It reports false when none is known.
func (t *PrimaryTracker) MinPosition(since time.Time) (rosemary.Position, bool) {
	for _, p := range t.positions {
		if !p.at.Before(since) {
			return p.position, true
		}
	}
	return rosemary.Position{}, false
}

// ReachedAt returns when the primary was first known to have reached position;
// zero if it isn't known to have.
func (t *PrimaryTracker) ReachedAt(position rosemary.Position) time.Time {
	i := sort.Search(len(t.positions), func(n int) bool { return t.positions[n].position.AtLeast(position) })
	if i == len(t.positions) {
		return time.Time{}
	}
	return t.positions[i].at
}

// Lag returns how far behind the primary a replica was that had applied
// position at the given time.
func (t *PrimaryTracker) Lag(position rosemary.Position, at time.Time) time.Duration {
	next := sort.Search(len(t.positions), func(n int) bool { return t.positions[n].position.Compare(position) > 0 })
	if next == len(t.positions) {
		return 0
	}
	return max(at.Sub(t.positions[next].at), 0)
}

// Status returns the newest status of a target, when it was requested, and
// whether there is one.
func (t *PrimaryTracker) Status(id rosemary.TargetID) (rosemary.Status, time.Time, bool) {
	s := t.targets[id]
	if s == nil || !s.seen {
		return rosemary.Status{}, time.Time{}, false
	}
	return s.status, s.sentAt, true
}

// Term returns the newest term seen.
func (t *PrimaryTracker) Term() uint64 { return t.term }
