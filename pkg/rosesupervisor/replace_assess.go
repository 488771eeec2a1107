package rosesupervisor

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
)

// AssessReplacement returns the action that the group requires, and how long the
// condition for the action has to persist.
func AssessReplacement(view rosefleet.View) (Action, time.Duration) {
	primary := view.PrimaryTarget
	switch {
	case view.Term == 0 || len(view.Targets) < 2:
		return ActionNone, 0
	case (!view.HasPrimaryLease || !view.HasPrimaryTarget) && anyStatusUnknown(view):
		// The primary may be a target about which nothing is known yet.
		return ActionNone, 0
	case !view.HasPrimaryLease || !view.HasPrimaryTarget:
		return ActionFailover, unknownPrimaryDelay
	case primary.UnreachableFor > 0 && primary.ConnectionRefused:
		return ActionFailover, connRefusedDelay
	case primary.UnreachableFor > 0:
		return ActionFailover, unresponsiveDelay
	case primary.Leaving:
		return ActionSwitchover, 0
	case pausedForNewerTerm(view):
		return ActionUnfence, rosegroup.MaxPromotionTime
	case view.PrimaryValid && stall(view).MovePrimary():
		return ActionRelieve, 0
	}
	return ActionNone, 0
}

// stall returns what is known of the group's replicas that answer.
func stall(view rosefleet.View) rosedecision.Stall {
	s := rosedecision.Stall{QueuedFor: view.PrimaryTarget.QueuedFor}
	for _, t := range view.Targets {
		if t.ID == view.PrimaryLease.Target || t.SeenAt.IsZero() || t.UnreachableFor > 0 {
			continue
		}
		s.Replicas = append(s.Replicas, rosedecision.StalledReplica{Lag: t.Status.ReportedLag, ReceivedLag: t.ReceivedLag, Leaving: t.Leaving})
	}
	return s
}

// anyStatusUnknown reports whether there is a target of which neither a status
// is known nor that it doesn't answer.
func anyStatusUnknown(view rosefleet.View) bool {
	for _, t := range view.Targets {
		if t.SeenAt.IsZero() && t.UnreachableFor == 0 {
			return true
		}
	}
	return false
}

// pausedForNewerTerm reports whether a replica is fenced for a term that hasn't
// begun.
func pausedForNewerTerm(view rosefleet.View) bool {
	for _, t := range view.Targets {
		if t.Status.PausedTerm > view.Term {
			return true
		}
	}
	return false
}
