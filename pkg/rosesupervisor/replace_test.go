package rosesupervisor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

func observedTarget(id string) rosefleet.TargetView {
	return rosefleet.TargetView{TargetRegistration: rosemary.TargetRegistration{Target: rosemary.Target{ID: rosemary.TargetID(id)}}, SeenAt: time.Unix(1, 0)}
}

// viewWithPrimaryA returns a view of a group with targets a, b and c, whose
// primary is a, with change applied.
func viewWithPrimaryA(change func(v *rosefleet.View)) rosefleet.View {
	v := rosefleet.View{
		Term: 1, HasPrimaryLease: true, HasPrimaryTarget: true, PrimaryValid: true, PrimaryLease: rosegroup.PrimaryLease{Target: "a", Term: 1},
		PrimaryTarget: observedTarget("a"), Targets: []rosefleet.TargetView{observedTarget("a"), observedTarget("b"), observedTarget("c")},
	}
	change(&v)
	return v
}

// stallReplicas has the replicas apply late, while requests queue for the primary.
func stallReplicas(queuedFor time.Duration) func(v *rosefleet.View) {
	return func(v *rosefleet.View) {
		v.PrimaryTarget.QueuedFor = queuedFor
		for i := range v.Targets[1:] {
			v.Targets[1+i].Status.ReportedLag = time.Minute
		}
	}
}

func TestAssessReplacement(t *testing.T) {
	tests := []struct {
		name   string
		change func(v *rosefleet.View)
		want   Action
	}{
		{"healthy", func(*rosefleet.View) {}, ActionNone},
		{"primary refuses connections", func(v *rosefleet.View) { v.PrimaryTarget.UnreachableFor, v.PrimaryTarget.ConnectionRefused = 1, true }, ActionFailover},
		{"primary unresponsive", func(v *rosefleet.View) { v.PrimaryTarget.UnreachableFor = 1 }, ActionFailover},
		{"primary leaving", func(v *rosefleet.View) { v.PrimaryTarget.Leaving = true }, ActionSwitchover},
		{"without a primary", func(v *rosefleet.View) { v.HasPrimaryLease, v.HasPrimaryTarget = false, false }, ActionFailover},
		{"without a primary, a target's status unknown", func(v *rosefleet.View) {
			v.HasPrimaryLease, v.HasPrimaryTarget = false, false
			v.Targets[1].SeenAt = time.Time{}
		}, ActionNone},
		{"incomplete promotion", func(v *rosefleet.View) {
			v.PrimaryValid = false
			v.Targets[1].Status.PausedTerm = 2
		}, ActionUnfence},
		{"lease expired, no replica fenced", func(v *rosefleet.View) { v.PrimaryValid = false }, ActionNone},
		{"replicas stalled, clients wait", stallReplicas(time.Second), ActionRelieve},
		{"replicas stalled, nobody waits", stallReplicas(0), ActionNone},
		{"replicas stalled and fenced", func(v *rosefleet.View) {
			stallReplicas(time.Second)(v)
			v.Targets[1].Status.PausedTerm = 2
		}, ActionUnfence},
		{"primary valid, replica fenced", func(v *rosefleet.View) { v.Targets[1].Status.PausedTerm = 2 }, ActionUnfence},
		{"no status received yet", func(v *rosefleet.View) { v.Term = 0 }, ActionNone},
		{"single target", func(v *rosefleet.View) { v.Targets = v.Targets[:1] }, ActionNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			action, _ := AssessReplacement(viewWithPrimaryA(test.change))
			qt.Check(t, action, qt.Equals, test.want)
		})
	}
}

// A proxy that is partitioned together with a minority of the proxies must not
// replace a primary, even if none of them reaches it, unless all replicas are on its
// side.
func TestPollAgreed(t *testing.T) {
	tests := []struct {
		name string
		poll Poll
		want bool
	}{
		{"no proxy reaches it", Poll{Members: 6, Replied: 5, NotReachedBy: 5, PrimaryKnown: true}, true},
		{"all others reach it", Poll{Members: 6, Replied: 5, ReachedBy: 5, PrimaryKnown: true, ReplicasAnswer: true}, false},
		{"a third doesn't reach it", Poll{Members: 6, Replied: 5, ReachedBy: 4, NotReachedBy: 1, PrimaryKnown: true}, true},
		{"less than a third don't reach it", Poll{Members: 12, Replied: 11, ReachedBy: 10, NotReachedBy: 1, PrimaryKnown: true}, false},
		{"partitioned alone", Poll{Members: 6, PrimaryKnown: true}, false},
		{"partitioned alone with all replicas", Poll{Members: 6, PrimaryKnown: true, ReplicasAnswer: true}, true},
		{"partitioned with one other", Poll{Members: 6, Replied: 1, NotReachedBy: 1, PrimaryKnown: true}, false},
		{"partitioned with all replicas and one other that reaches it", Poll{Members: 6, Replied: 1, ReachedBy: 1, PrimaryKnown: true, ReplicasAnswer: true}, false},
		{"half of all, this one included", Poll{Members: 6, Replied: 2, NotReachedBy: 2, PrimaryKnown: true}, true},
		{"no other proxy knows it", Poll{Members: 6, Replied: 5, PrimaryKnown: true}, false},
		{"no primary known", Poll{Members: 6, Replied: 5}, true},
		{"no primary known, no replies", Poll{Members: 6}, false},
		{"no primary known, no replies, all targets answer", Poll{Members: 6, ReplicasAnswer: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.poll.Agreed(), qt.Equals, test.want)
		})
	}
}

// A poll is decided early only if no further reply can change its result.
func TestPollDecided(t *testing.T) {
	tests := []struct {
		name string
		poll Poll
		want bool
	}{
		{"a third of all don't reach it", Poll{Members: 7, Replied: 3, NotReachedBy: 3, PrimaryKnown: true}, true},
		{"less than a third if the others reach it", Poll{Members: 9, Replied: 4, ReachedBy: 1, NotReachedBy: 1, PrimaryKnown: true}, false},
		{"less than half replied", Poll{Members: 7, Replied: 2, NotReachedBy: 2, PrimaryKnown: true, ReplicasAnswer: true}, false},
		{"all replied", Poll{Members: 3, Replied: 2, ReachedBy: 2, PrimaryKnown: true}, false},
		{"no primary, half replied", Poll{Members: 6, Replied: 2}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { qt.Check(t, test.poll.Decided(), qt.Equals, test.want) })
	}
}

// askedVoters records that the other proxies were asked, of which none reaches the primary.
type askedVoters struct {
	Voters
	asked bool
}

// PollReachability answers a poll.
func (v *askedVoters) PollReachability(_ context.Context, _ string, _ rosemary.TargetID, poll Poll) Poll {
	v.asked = true
	return poll
}

// TestPrimaryConfirmedByTheOnlyOther guards against a proxy that replaces a primary without
// the word of the only other one, as a stale list of members lacks the proxy itself.
func TestPrimaryConfirmedByTheOnlyOther(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []rosemary.Member
		asked   bool
	}{
		{"alone", []rosemary.Member{{Proxy: "p"}}, false},
		{"nobody listed", nil, false},
		{"both listed", []rosemary.Member{{Proxy: "p"}, {Proxy: "q"}}, true},
		{"only the other listed", []rosemary.Member{{Proxy: "q"}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			voters := &askedVoters{}
			locks := NewLockManager(LockManagerConfig{Self: rosemary.Member{Proxy: "p"}, Clock: roseclock.Runtime{}})
			locks.members = test.members
			r := NewReplacer(ReplacerConfig{
				Group: rosefleet.NewGroup(rosefleet.Config{Name: "g", Clock: roseclock.Runtime{}}), Locks: locks, Clock: roseclock.Runtime{},
				Voters: voters, ProxyCount: func() int { return 2 },
			})
			confirmed := r.confirmedByPeers(context.Background(), ActionFailover, viewWithPrimaryA(func(*rosefleet.View) {}))
			qt.Check(t, voters.asked, qt.Equals, test.asked)
			qt.Check(t, confirmed, qt.Equals, !test.asked)
		})
	}
}

func TestChooseSuccessor(t *testing.T) {
	at := func(id string, offset uint64) rosemary.Status {
		return rosemary.Status{Target: rosemary.TargetID(id), Position: rosemary.Position{LogTerm: 1, Offset: offset}}
	}
	view := viewWithPrimaryA(func(v *rosefleet.View) { v.Targets[0].Leaving = true })
	tests := []struct {
		name   string
		fenced []rosemary.Status
		old    rosemary.Status
		want   rosemary.TargetID
	}{
		{"greatest position", []rosemary.Status{at("b", 4), at("c", 5)}, rosemary.Status{}, "c"},
		{"prefers a target that isn't leaving", []rosemary.Status{at("a", 5), at("b", 5)}, at("a", 5), "b"},
		{"old primary if no other has its position", []rosemary.Status{at("b", 4), at("a", 5)}, at("a", 5), "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, found := chooseSuccessor(view, test.fenced, test.old)
			qt.Check(t, found, qt.IsTrue)
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
	_, found := chooseSuccessor(view, nil, rosemary.Status{})
	qt.Check(t, found, qt.IsFalse)
}

// An order that arrives after the lock has passed on carries a lower fencing token than the next
// holder's.
func TestOrderEndsWithItsLock(t *testing.T) {
	now := time.Unix(100, 0)
	for _, heldFor := range []time.Duration{100 * time.Millisecond, promoteTimeout, 5 * time.Second} {
		timeout := orderTimeout(now, now.Add(heldFor))
		qt.Check(t, timeout <= heldFor && timeout <= promoteTimeout, qt.IsTrue, qt.Commentf("%v of %v", timeout, heldFor))
	}
}

// TestPendingOrder guards against a successor of an earlier attempt that is behind by now.
func TestPendingOrder(t *testing.T) {
	at := func(id string, offset uint64) rosemary.Status {
		return rosemary.Status{Target: rosemary.TargetID(id), Position: rosemary.Position{LogTerm: 1, Offset: offset}}
	}
	for _, test := range []struct {
		name       string
		pending    rosemary.TargetID
		candidates []rosemary.Status
		want       rosemary.TargetID
	}{
		{"none", "", []rosemary.Status{at("b", 7), at("c", 7)}, "b"},
		{"same target", "b", []rosemary.Status{at("b", 7), at("c", 7)}, "b"},
		{"holds as much", "c", []rosemary.Status{at("b", 7), at("c", 7)}, "c"},
		{"is behind", "c", []rosemary.Status{at("b", 9), at("c", 7)}, ""},
		{"is gone", "c", []rosemary.Status{at("b", 9)}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			successor, err := withPendingOrder("b", test.pending, test.candidates)
			qt.Check(t, successor, qt.Equals, test.want)
			qt.Check(t, err != nil, qt.Equals, test.want == "")
		})
	}
}

// An order counts as pending for its own term, and as long as it may take effect.
func TestOrderSettles(t *testing.T) {
	r := NewReplacer(ReplacerConfig{Clock: roseclock.Runtime{}})
	r.pending = pendingOrder{successor: "b", term: 2}
	for _, test := range []struct {
		term uint64
		ago  time.Duration
		want rosemary.TargetID
	}{{2, 0, "b"}, {2, rosegroup.MaxPromotionTime - time.Second, "b"}, {2, rosegroup.MaxPromotionTime, ""}, {3, 0, ""}} {
		r.orderedAt = r.config.Clock.Now().Add(-test.ago)
		qt.Check(t, r.unsettledOrder(test.term), qt.Equals, test.want, qt.Commentf("term %d, %v ago", test.term, test.ago))
	}
}
