// Package rosesupervisor performs failover and switchover for database groups:
// it decides when a primary has to be replaced, fences targets and has a
// successor promoted.
//
// A Supervisor promotes the successor itself and makes the other targets follow
// it. Any number of supervisors may act on one group at once: safety of writes
// depends only on the fences at the targets. After a supervisor died half-way,
// another one starts over under a higher term.
//
// A Replacer has the platform's promoter promote the successor. It acts only
// while its proxy holds the group's failover lock, which a LockManager claims.
package rosesupervisor

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Action is what a group requires from its supervisor.
type Action int

// Actions of a supervisor.
const (
	// ActionNone is for a group whose targets all follow its primary, or one
	// about which too little is known to act.
	ActionNone Action = iota
	// ActionFollow is for a target that doesn't follow the primary.
	ActionFollow
	// ActionSwitchover is for a primary that is leaving.
	ActionSwitchover
	// ActionFailover is for a group without a working primary.
	ActionFailover
	// ActionReplaceIsolated is for a primary that answers, but no longer
	// reaches the targets that it needs to confirm a write, or that many
	// proxies can't reach.
	ActionReplaceIsolated
	// ActionUnfence is for a primary that answers while replicas are still fenced for
	// its replacement, as after their promoter died.
	ActionUnfence
	// ActionRelieve is for a busy primary whose replicas serve no reads for long, as they
	// apply late what they have received.
	ActionRelieve
)

// actionNames are the values of the log field "need". Operators search logs for
// them, so they stay when a constant is renamed.
var actionNames = []string{"nothing", "follow", "move", "primary", "reunion", "unfence", "relief"}

// String returns the value of the log field "need".
func (a Action) String() string { return actionNames[a] }

// planned reports whether the action replaces a primary that answers.
func (a Action) planned() bool { return a.switchover() || a == ActionReplaceIsolated }

// switchover reports whether the action moves a primary that works.
func (a Action) switchover() bool { return a == ActionSwitchover || a == ActionRelieve }

// How long a condition has to persist before it is acted on, so that
// transient states are ignored.
const (
	followDelay     = 100 * time.Millisecond
	switchoverDelay = 500 * time.Millisecond
	isolatedDelay   = time.Second
	noPrimaryDelay  = 200 * time.Millisecond
)

// Assess returns the action that the group requires, and how long the condition
// for the action has to persist. The replicas' reports decide: a primary that
// isn't leaving is replaced only when so many of them no longer receive its log
// that it can't confirm a write any more.
func Assess(group rosemary.Group, view rosegroup.View, leaving func(rosemary.TargetID) bool) (Action, time.Duration) {
	notStreaming, anyStreaming := countNotStreaming(view)
	tooFewStreaming := notStreaming >= group.FenceQuorum()
	switch {
	case !view.HasPrimary && view.Term > 0 && countReachable(view) >= group.FenceQuorum():
		return ActionFailover, noPrimaryDelay
	case !view.HasPrimary:
		return ActionNone, 0
	case view.Primary.Reachability.Failures > 0 && tooFewStreaming && !anyStreaming:
		return ActionFailover, 0
	case view.Primary.Reachability.Down():
		return ActionNone, 0
	case tooFewStreaming && !anyStreaming:
		return ActionReplaceIsolated, isolatedDelay
	case anyNotFollowing(view):
		return ActionFollow, followDelay
	case leaving(view.Primary.ID) || view.Primary.Status.Leaving:
		return ActionSwitchover, switchoverDelay
	}
	return ActionNone, 0
}

// countNotStreaming counts the reachable targets other than the primary that
// don't receive its log, and reports whether any target does.
func countNotStreaming(view rosegroup.View) (int, bool) {
	notStreaming, anyStreaming := 0, false
	for _, t := range view.Targets {
		if t.ID == view.Primary.ID || !t.Seen || t.Reachability.Down() {
			continue
		}
		if t.Status.Streaming && t.Status.Role == rosemary.RoleReplica {
			anyStreaming = true
		} else {
			notStreaming++
		}
	}
	return notStreaming, anyStreaming
}

func countReachable(view rosegroup.View) int {
	count := 0
	for _, t := range view.Targets {
		if t.Seen && !t.Reachability.Down() {
			count++
		}
	}
	return count
}

// anyNotFollowing reports whether a reachable target doesn't follow the primary.
func anyNotFollowing(view rosegroup.View) bool {
	for _, t := range view.Targets {
		if isNotFollowing(t, view) {
			return true
		}
	}
	return false
}

func isNotFollowing(t rosegroup.TargetView, view rosegroup.View) bool {
	if !t.Seen || t.Reachability.Down() || t.ID == view.Primary.ID {
		return false
	}
	status := t.Status
	return status.Term < view.Term || status.Role != rosemary.RoleReplica || status.Primary != view.Primary.ID
}

// ChoosePrimary returns the fenced target to promote. A target qualifies if its
// position is at or after those of a fence quorum, itself included: its log then
// holds every acknowledged write. Among those that qualify, preferred comes
// first and targets to avoid last; ties go to the greatest position.
func ChoosePrimary(group rosemary.Group, fenced []rosemary.Status, avoid func(rosemary.TargetID) bool, preferred rosemary.TargetID) (rosemary.Status, bool) {
	var best rosemary.Status
	bestPriority := -1
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
		priority := 1
		if avoid(candidate.Target) {
			priority = 0
		} else if candidate.Target == preferred {
			priority = 2
		}
		if priority > bestPriority || priority == bestPriority && candidate.Position.Compare(best.Position) > 0 {
			best, bestPriority = candidate, priority
		}
	}
	return best, bestPriority >= 0
}
