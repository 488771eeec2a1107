// Package rosesupervisor keeps a database group led: it decides when a primary
// has to be replaced, fences and promotes, and brings stray targets back. Any
// number of supervisors may act on one group at once: the fences at the
// targets alone keep writes safe, and a supervisor that dies half-way leaves
// nothing that another can't finish.
package rosesupervisor

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Action is what a group lacks.
type Action int

// Needs of a group.
const (
	// NeedNothing is a led group whose targets all follow.
	ActionNone Action = iota
	// NeedFollow is a target that doesn't follow the primary.
	ActionFollow
	// NeedMove is a primary that is leaving.
	ActionSwitchover
	// NeedPrimary is a group whose primary is gone.
	ActionFailover
	// NeedReunion is a group whose primary answers, but no longer reaches
	// the targets that it needs to confirm a write.
	ActionReplaceIsolated
)

var needNames = []string{"nothing", "follow", "move", "primary", "reunion"}

// String names the need.
func (n Action) String() string { return needNames[n] }

// Delays before a need is acted on, so that a passing state isn't.
const (
	followAfter  = 100 * time.Millisecond
	moveAfter    = 500 * time.Millisecond
	reunionAfter = time.Second
	orphanAfter  = 200 * time.Millisecond
)

// Assess returns what the group lacks, and how long that has to last before
// it is acted on. Replicas are the witnesses: a primary is given up only when
// so many of them say that its log no longer reaches them that it can't
// confirm a write any more.
func Assess(group rosemary.Group, view rosegroup.View, leaving func(rosemary.TargetID) bool) (Action, time.Duration) {
	cutOff, followers := witnesses(view)
	enough := cutOff >= group.FenceQuorum()
	switch {
	case !view.HasPrimary && view.Term > 0 && reachable(view) >= group.FenceQuorum():
		return ActionFailover, orphanAfter
	case !view.HasPrimary:
		return ActionNone, 0
	case view.Primary.Reachability.Failures > 0 && enough && !followers:
		return ActionFailover, 0
	case view.Primary.Reachability.Down():
		return ActionNone, 0
	case enough && !followers:
		return ActionReplaceIsolated, reunionAfter
	case stray(view):
		return ActionFollow, followAfter
	case leaving(view.Primary.ID) || view.Primary.Status.Leaving:
		return ActionSwitchover, moveAfter
	}
	return ActionNone, 0
}

// witnesses counts the reachable targets beside the primary that its log
// doesn't reach, and tells whether it reaches any.
func witnesses(view rosegroup.View) (int, bool) {
	cutOff, followers := 0, false
	for _, t := range view.Targets {
		if t.ID == view.Primary.ID || !t.Seen || t.Reachability.Down() {
			continue
		}
		if t.Status.Streaming && t.Status.Role == rosemary.RoleReplica {
			followers = true
		} else {
			cutOff++
		}
	}
	return cutOff, followers
}

func reachable(view rosegroup.View) int {
	count := 0
	for _, t := range view.Targets {
		if t.Seen && !t.Reachability.Down() {
			count++
		}
	}
	return count
}

// stray reports whether a reachable target doesn't follow the primary.
func stray(view rosegroup.View) bool {
	for _, t := range view.Targets {
		if isStray(t, view) {
			return true
		}
	}
	return false
}

func isStray(t rosegroup.TargetView, view rosegroup.View) bool {
	if !t.Seen || t.Reachability.Down() || t.ID == view.Primary.ID {
		return false
	}
	s := t.Status
	return s.Term < view.Term || s.Role != rosemary.RoleReplica || s.Primary != view.Primary.ID
}

// ChoosePrimary returns the fenced target to promote. It is the greatest of a set
// large enough to hold every acknowledged write; avoid is passed over if
// another one qualifies, and wanted goes before others that do.
func ChoosePrimary(group rosemary.Group, fenced []rosemary.Status, avoid func(rosemary.TargetID) bool, wanted rosemary.TargetID) (rosemary.Status, bool) {
	var best rosemary.Status
	rank := -1
	for _, candidate := range fenced {
		covered := 0
		for _, other := range fenced {
			if candidate.Position.AtLeast(other.Position) {
				covered++
			}
		}
		if covered < group.FenceQuorum() {
			continue
		}
		r := 1
		if avoid(candidate.Target) {
			r = 0
		} else if candidate.Target == wanted {
			r = 2
		}
		if r > rank || r == rank && candidate.Position.Compare(best.Position) > 0 {
			best, rank = candidate, r
		}
	}
	return best, rank >= 0
}
