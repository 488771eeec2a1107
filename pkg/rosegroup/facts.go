// Package rosegroup follows one database group: which target leads, what has
// been confirmed on a quorum, and how old each replica's data is. Facts are
// plain state; Controller adds the goroutines that gather them.
package rosegroup

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Observation is a status with the bounds of the time at which it held.
type Observation struct {
	rosemary.Status
	// SentAt is when the status was asked for, on this process's clock.
	SentAt time.Time
	// ReceivedAt is when it arrived.
	ReceivedAt time.Time
}

// Observations is what is known of a group. It isn't safe for concurrent use.
type Observations struct {
	group     rosemary.Group
	byTarget  map[rosemary.TargetID]Observation
	confirmed rosemary.Position
	history   rosemary.History
	ages      ages
	// leaving tells which targets are on their way out.
	leaving func(rosemary.TargetID) bool
}

// NewObservations returns an empty set of facts about group.
// Targets that leaving names don't count for a confirmation, unless they lead:
// what is acknowledged must outlast their removal.
func NewObservations(group rosemary.Group, leaving func(rosemary.TargetID) bool) *Observations {
	if leaving == nil {
		leaving = func(rosemary.TargetID) bool { return false }
	}
	return &Observations{group: group, byTarget: make(map[rosemary.TargetID]Observation), leaving: leaving}
}

// Add takes in a fact and reports whether it told anything new. Facts may
// come late, twice and out of order.
func (f *Observations) Add(fact Observation) bool {
	if _, member := f.group.Find(fact.Target); !member {
		return false
	}
	known, seen := f.byTarget[fact.Target]
	if seen && !supersedes(fact, known) {
		return false
	}
	f.byTarget[fact.Target] = fact
	f.confirm()
	if fact.LeadsTerm() && fact.Term == f.Term() {
		f.ages.add(sample{at: fact.SentAt, term: fact.Term, position: fact.Position})
	}
	f.ages.validate(fact.Term, f.TermVerifiedAt(fact.Term))
	return !seen || fact.Term != known.Term || fact.Position != known.Position ||
		fact.Role != known.Role || fact.Leaving != known.Leaving || fact.Streaming != known.Streaming
}

func supersedes(fact, known Observation) bool {
	if fact.Term != known.Term {
		return fact.Term > known.Term
	}
	return fact.SentAt.After(known.SentAt) || fact.Position.LogTerm > known.Position.LogTerm
}

// Term returns the highest term seen.
func (f *Observations) Term() uint64 {
	term := uint64(0)
	for _, fact := range f.byTarget {
		term = max(term, fact.Term)
	}
	return term
}

// Primary returns the fact of the target that leads the highest term.
func (f *Observations) Primary() (Observation, bool) {
	term := f.Term()
	for _, fact := range f.byTarget {
		if fact.Term == term && fact.LeadsTerm() {
			return fact, true
		}
	}
	return Observation{}, false
}

// Get returns the fact of one target.
func (f *Observations) Get(id rosemary.TargetID) (Observation, bool) {
	fact, ok := f.byTarget[id]
	return fact, ok
}

// All returns the facts in the order of the group's targets.
func (f *Observations) All() []Observation {
	var all []Observation
	for _, t := range f.group.Targets {
		if fact, ok := f.byTarget[t.ID]; ok {
			all = append(all, fact)
		}
	}
	return all
}

// confirm raises the confirmed position: the greatest that a quorum, the
// primary among it, was seen to hold under the primary's own term.
func (f *Observations) confirm() {
	primary, ok := f.Primary()
	if !ok {
		return
	}
	var offsets []uint64
	for _, fact := range f.byTarget {
		counts := fact.Target == primary.Target || !f.leaving(fact.Target)
		if counts && fact.Term == primary.Term && fact.Position.LogTerm == primary.Term {
			offsets = append(offsets, fact.Position.Offset)
		}
	}
	quorum := f.group.Quorum()
	if len(offsets) < quorum {
		return
	}
	slices.Sort(offsets)
	reached := min(offsets[len(offsets)-quorum], primary.Position.Offset)
	position := rosemary.Position{LogTerm: primary.Term, Offset: reached}
	if position.Compare(f.confirmed) > 0 {
		f.confirmed = position
		f.history = primary.History
	}
}

// Confirmed returns the greatest confirmed position.
func (f *Observations) Confirmed() rosemary.Position { return f.confirmed }

// RecordStateAt tells whether the record at p is acknowledged, lost for good, or
// neither yet.
func (f *Observations) RecordStateAt(p rosemary.Position) rosemary.RecordState {
	return f.history.RecordState(p, f.confirmed)
}

// TermVerifiedAt returns the latest time at which term is known to have been in
// force: a quorum, the primary among it, was asked at or after that time and
// still accepted it. The zero time means never.
func (f *Observations) TermVerifiedAt(term uint64) time.Time {
	var times []time.Time
	led := time.Time{}
	for _, fact := range f.byTarget {
		if fact.Term != term {
			continue
		}
		times = append(times, fact.SentAt)
		if fact.LeadsTerm() {
			led = fact.SentAt
		}
	}
	quorum := f.group.Quorum()
	if len(times) < quorum || led.IsZero() {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return earlier(times[len(times)-quorum], led)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// CaughtUpAt returns the latest time at which the target is known to have held
// all that its primary held. The zero time means unknown.
func (f *Observations) CaughtUpAt(id rosemary.TargetID) time.Time {
	fact, ok := f.byTarget[id]
	if !ok {
		return time.Time{}
	}
	return f.ages.freshAt(fact.Position)
}

// ConfirmedAt returns the latest time at which all that the primary held is
// known to be confirmed now. The zero time means unknown.
func (f *Observations) ConfirmedAt() time.Time {
	return f.ages.freshAt(f.confirmed)
}

// Clone returns an independent copy.
func (f *Observations) Clone() *Observations {
	clone := *f
	clone.byTarget = maps.Clone(f.byTarget)
	clone.ages.samples = slices.Clone(f.ages.samples)
	return &clone
}

// Fingerprint tells copies apart by what they know of terms and positions.
func (f *Observations) Fingerprint() string {
	parts := []string{f.confirmed.String(), f.history.String()}
	for _, fact := range f.All() {
		parts = append(parts, string(fact.Target)+"="+fact.Status.Fingerprint())
	}
	return strings.Join(parts, ";")
}
