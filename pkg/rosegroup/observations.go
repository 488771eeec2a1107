// Package rosegroup monitors one database group: which target is the primary,
// what a quorum has confirmed, and how old each replica's data is.
// Observations is plain state; Monitor adds the goroutines that collect it.
// PrimaryTracker is the state for a group whose targets the platform promotes.
package rosegroup

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Observation is a target's status with bounds on the time at which it held.
type Observation struct {
	rosemary.Status
	// SentAt is when the status was requested, on this process's clock.
	SentAt time.Time
	// ReceivedAt is when the status arrived.
	ReceivedAt time.Time
}

// Observations is what is known of a group. It isn't safe for concurrent use.
type Observations struct {
	group     rosemary.Group
	byTarget  map[rosemary.TargetID]Observation
	confirmed rosemary.Position
	history   rosemary.History
	timeline  timeline
	// leaving reports whether a target is about to be removed.
	leaving func(rosemary.TargetID) bool
}

// NewObservations returns an empty set of observations of group. Leaving
// targets don't count towards a confirmation, except for the primary: an
// acknowledged write must survive their removal.
func NewObservations(group rosemary.Group, leaving func(rosemary.TargetID) bool) *Observations {
	if leaving == nil {
		leaving = func(rosemary.TargetID) bool { return false }
	}
	return &Observations{group: group, byTarget: make(map[rosemary.TargetID]Observation), leaving: leaving}
}

// Add records an observation and reports whether it changed the target's term,
// position, role, Leaving or Streaming. Observations may arrive late, twice and
// out of order.
func (o *Observations) Add(observation Observation) bool {
	if _, member := o.group.Find(observation.Target); !member {
		return false
	}
	known, seen := o.byTarget[observation.Target]
	if seen && !supersedes(observation, known) {
		return false
	}
	o.byTarget[observation.Target] = observation
	o.confirm()
	if observation.LeadsTerm() && observation.Term == o.Term() {
		o.timeline.add(sample{at: observation.SentAt, term: observation.Term, position: observation.Position})
	}
	o.timeline.validate(observation.Term, o.TermVerifiedAt(observation.Term))
	return !seen || observation.Term != known.Term || observation.Position != known.Position ||
		observation.Role != known.Role || observation.Leaving != known.Leaving || observation.Streaming != known.Streaming
}

// supersedes reports whether observation replaces known, whichever of the two
// arrived first.
func supersedes(observation, known Observation) bool {
	if observation.Term != known.Term {
		return observation.Term > known.Term
	}
	return observation.SentAt.After(known.SentAt) || observation.Position.LogTerm > known.Position.LogTerm
}

// Term returns the highest term seen.
func (o *Observations) Term() uint64 {
	term := uint64(0)
	for _, ob := range o.byTarget {
		term = max(term, ob.Term)
	}
	return term
}

// Primary returns the observation of the primary of the highest term.
func (o *Observations) Primary() (Observation, bool) {
	term := o.Term()
	for _, ob := range o.byTarget {
		if ob.Term == term && ob.LeadsTerm() {
			return ob, true
		}
	}
	return Observation{}, false
}

// Get returns the observation of one target.
func (o *Observations) Get(id rosemary.TargetID) (Observation, bool) {
	observation, ok := o.byTarget[id]
	return observation, ok
}

// All returns the observations in the order of the group's targets.
func (o *Observations) All() []Observation {
	var all []Observation
	for _, t := range o.group.Targets {
		if ob, ok := o.byTarget[t.ID]; ok {
			all = append(all, ob)
		}
	}
	return all
}

// confirm advances the confirmed position: the greatest one that a quorum of
// targets in the primary's term has reached with a record of that term. It is
// never ahead of the primary.
func (o *Observations) confirm() {
	primary, ok := o.Primary()
	if !ok {
		return
	}
	var offsets []uint64
	for _, ob := range o.byTarget {
		eligible := ob.Target == primary.Target || !o.leaving(ob.Target)
		if eligible && ob.Term == primary.Term && ob.Position.LogTerm == primary.Term {
			offsets = append(offsets, ob.Position.Offset)
		}
	}
	quorum := o.group.Quorum()
	if len(offsets) < quorum {
		return
	}
	slices.Sort(offsets)
	offset := min(offsets[len(offsets)-quorum], primary.Position.Offset)
	position := rosemary.Position{LogTerm: primary.Term, Offset: offset}
	if position.Compare(o.confirmed) > 0 {
		o.confirmed = position
		o.history = primary.History
	}
}

// Confirmed returns the greatest confirmed position.
func (o *Observations) Confirmed() rosemary.Position { return o.confirmed }

// RecordState tells whether the record at p is confirmed, permanently lost,
// or neither yet.
func (o *Observations) RecordState(p rosemary.Position) rosemary.RecordState {
	return o.history.RecordState(p, o.confirmed)
}

// TermVerifiedAt returns the latest time at which term is known to have been
// in force: a quorum, including the primary, was queried at or after that time
// and still accepted it. The zero time means never.
func (o *Observations) TermVerifiedAt(term uint64) time.Time {
	var times []time.Time
	primaryAt := time.Time{}
	for _, ob := range o.byTarget {
		if ob.Term != term {
			continue
		}
		times = append(times, ob.SentAt)
		if ob.LeadsTerm() {
			primaryAt = ob.SentAt
		}
	}
	quorum := o.group.Quorum()
	if len(times) < quorum || primaryAt.IsZero() {
		return time.Time{}
	}
	slices.SortFunc(times, time.Time.Compare)
	return earlier(times[len(times)-quorum], primaryAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// CaughtUpAt returns the latest time at which the target is known to have held
// everything that its primary held. The zero time means unknown.
func (o *Observations) CaughtUpAt(id rosemary.TargetID) time.Time {
	observation, ok := o.byTarget[id]
	if !ok {
		return time.Time{}
	}
	return o.timeline.timeOf(observation.Position)
}

// ConfirmedAt returns the latest time such that everything the primary held
// then is confirmed by now. The zero time means unknown.
func (o *Observations) ConfirmedAt() time.Time {
	return o.timeline.timeOf(o.confirmed)
}

// Clone returns an independent copy.
func (o *Observations) Clone() *Observations {
	clone := *o
	clone.byTarget = maps.Clone(o.byTarget)
	clone.timeline.samples = slices.Clone(o.timeline.samples)
	return &clone
}

// Fingerprint returns a text that differs if the confirmed position, its history
// or the rosemary.Status.Fingerprint of a target differs.
func (o *Observations) Fingerprint() string {
	parts := []string{o.confirmed.String(), o.history.String()}
	for _, ob := range o.All() {
		parts = append(parts, string(ob.Target)+"="+ob.Status.Fingerprint())
	}
	return strings.Join(parts, ";")
}
