package rosenode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosecaller"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// A proxy that has heard of no live home isn't ready, unless every proxy is one.
func TestReachesGroups(t *testing.T) {
	for size, reaches := range map[int]bool{6: true, 195: false} {
		configuration, slots, members := benchFleet(size)
		n := New(Config{Self: members[0]})
		n.directory.Store(newDirectory(n.config.Self, members, members, configuration, slots))
		n.mesh.AddMembers(members)
		qt.Check(t, n.reachesGroups(), qt.Equals, reaches, qt.Commentf("%d members", size))
	}
}

// A task that a home refuses as it shuts down goes elsewhere without the retry budget.
func TestLeavingHomeNeedsNoBudget(t *testing.T) {
	n := New(Config{})
	for n.retryBudget.TryWithdraw() {
	}
	task := rosecaller.Task{Deadline: time.Now().Add(time.Minute)}
	refused := func(kind rosemary.RefusalKind) rosecaller.Result {
		return rosecaller.Result{Refusal: &rosemary.Refusal{Kind: kind, Outcome: rosemary.OutcomeNotRun}}
	}
	qt.Check(t, placement{n}.mayRetryElsewhere(t.Context(), task, rosemary.Member{}, refused(rosemary.KindDraining)), qt.IsTrue)
	qt.Check(t, placement{n}.mayRetryElsewhere(t.Context(), task, rosemary.Member{}, refused(rosemary.KindOverloaded)), qt.IsFalse)
}
