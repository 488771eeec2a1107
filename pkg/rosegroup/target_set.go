package rosegroup

import (
	"cmp"
	"slices"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// SetVersion orders the versions of a group's target set. The zero value is older than any.
type SetVersion struct {
	// Generation is that of the failover lock under which the version was decided.
	Generation int64
	// Number counts the versions of a generation.
	Number uint64
}

// Compare returns a negative number if v is older than other, and a positive one if it is newer.
func (v SetVersion) Compare(other SetVersion) int {
	return cmp.Or(cmp.Compare(v.Generation, other.Generation), cmp.Compare(v.Number, other.Number))
}

// TargetSet tells which targets of a group count: only its members prove a primary lease, and
// only they may be promoted. The holder of the group's failover lock decides on it. The zero
// value is the set of a group for which nothing was decided yet, which goes by the list of
// registered targets. A TargetSet is immutable.
type TargetSet struct {
	Version SetVersion
	// Members are the targets that count, in the order of their IDs.
	Members []rosemary.TargetID
	// Retiring are the targets, not members but for a former sole member, that prove leases to
	// proxies which haven't adopted this version. A promotion has to fence them too.
	Retiring []rosemary.TargetID
	// Open is set while proxies may go by the list of registered targets.
	Open bool
	// FormerTerm is the term to which Former belongs.
	FormerTerm uint64
	// Former are targets that were members in the term, and may hold commits of it that no
	// member has.
	Former []rosemary.TargetID
}

// IsZero reports whether nothing was decided for the group yet.
func (s TargetSet) IsZero() bool { return s.Version == SetVersion{} }

// Contains reports whether a target is a member.
func (s TargetSet) Contains(id rosemary.TargetID) bool { return slices.Contains(s.Members, id) }

// IsSole reports whether a target is the only member, which proves its own lease.
func (s TargetSet) IsSole(id rosemary.TargetID) bool {
	return len(s.Members) == 1 && s.Members[0] == id
}

// Confirmed reports whether every proxy goes by this version or a later one.
func (s TargetSet) Confirmed() bool { return !s.IsZero() && !s.Open && len(s.Retiring) == 0 }

// WithMembers returns the next version with other members, decided under a generation of the
// lock. Targets that proxies may go on to count are retiring in it.
func (s TargetSet) WithMembers(members []rosemary.TargetID, generation int64) TargetSet {
	next := s
	next.Open = s.IsZero() || s.Open
	next.Version = s.Version.next(generation)
	next.Members = slices.Compact(slices.Sorted(slices.Values(members)))
	retiring := slices.DeleteFunc(slices.Concat(s.Retiring, s.Members), next.Contains)
	for _, id := range next.Members {
		if s.provesItself(id) && !next.IsSole(id) {
			retiring = append(retiring, id)
		}
	}
	next.Retiring = slices.Compact(slices.Sorted(slices.Values(retiring)))
	return next
}

// provesItself reports whether a member may prove its own lease to proxies that go by this
// version or an earlier one.
func (s TargetSet) provesItself(id rosemary.TargetID) bool {
	return s.IsSole(id) || s.Contains(id) && slices.Contains(s.Retiring, id)
}

// next returns the version that follows v under a generation.
func (v SetVersion) next(generation int64) SetVersion {
	if generation > v.Generation {
		return SetVersion{Generation: generation, Number: 1}
	}
	return SetVersion{Generation: v.Generation, Number: v.Number + 1}
}

// WithUncertain returns a set that is safe to go by while it isn't known whether s or its
// successor next is in force: what either says has to be fenced is, and only members of both are.
func (s TargetSet) WithUncertain(next TargetSet) TargetSet {
	merged := next
	merged.Members = slices.DeleteFunc(slices.Clone(next.Members), func(id rosemary.TargetID) bool { return !s.Contains(id) })
	retiring := slices.Concat(s.Retiring, next.Retiring)
	for _, id := range slices.Concat(s.Members, next.Members) {
		if !merged.Contains(id) || s.IsSole(id) || next.IsSole(id) {
			retiring = append(retiring, id)
		}
	}
	merged.Retiring = slices.Compact(slices.Sorted(slices.Values(retiring)))
	merged.Open = s.IsZero() || s.Open || next.Open
	return merged
}

// WithConfirmation returns the same version after every proxy that may use a primary has
// confirmed it.
func (s TargetSet) WithConfirmation() TargetSet {
	s.Retiring, s.Open = nil, false
	return s
}

// WithFormer returns the set with the targets that may hold commits of a term and aren't members.
// Those of an earlier term are dropped.
func (s TargetSet) WithFormer(term uint64, ids []rosemary.TargetID) TargetSet {
	former := slices.Clone(ids)
	if term == s.FormerTerm {
		former = append(former, s.Former...)
	}
	former = slices.Compact(slices.Sorted(slices.Values(slices.DeleteFunc(former, s.Contains))))
	s.FormerTerm, s.Former = term, former
	return s
}

// ToFence returns the targets that may prove the lease of a primary to some proxy, in the
// order of their IDs. All have to be fenced before the primary is replaced. registered are the
// targets listed by the store.
func (s TargetSet) ToFence(primary rosemary.TargetID, registered []rosemary.TargetID) []rosemary.TargetID {
	counting := slices.Concat(s.Members, s.Retiring)
	if s.IsZero() || s.Open {
		counting = append(counting, registered...)
	}
	counting = slices.DeleteFunc(counting, func(id rosemary.TargetID) bool { return id == primary })
	return slices.Compact(slices.Sorted(slices.Values(counting)))
}

// SelfProven reports whether a primary may prove its own lease to some proxy, which no fence of
// others ends.
func (s TargetSet) SelfProven(primary rosemary.TargetID) bool {
	return s.IsSole(primary) || slices.Contains(s.Retiring, primary)
}

// MayPromote reports whether a target may be promoted.
func (s TargetSet) MayPromote(id rosemary.TargetID) bool { return s.IsZero() || s.Contains(id) }
