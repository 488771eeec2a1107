package rosegroup_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// leadership is one under test with its clock.
type leadership struct {
	*rosegroup.Leadership
	now time.Time
}

func newLeadership() *leadership {
	l := &leadership{rosegroup.NewLeadership(), time.Unix(1000, 0)}
	l.SetTargets([]rosemary.TargetID{"a", "b", "c"})
	return l
}

func (l *leadership) pass(d time.Duration) { l.now = l.now.Add(d) }

func (l *leadership) primary(id rosemary.TargetID, term uint64) {
	l.Observe(rosemary.Status{Target: id, Role: rosemary.RolePrimary, Term: term}, l.now)
}

func (l *leadership) replica(id rosemary.TargetID, term, held uint64) {
	l.Observe(rosemary.Status{Target: id, Role: rosemary.RoleReplica, Term: term, PausedTerm: held}, l.now)
}

func (l *leadership) holds(id rosemary.TargetID, term uint64) bool {
	return l.IsPrimary(id, term, l.now)
}

// season has a replica seen without a fence for long.
func (l *leadership) season(id rosemary.TargetID, term uint64) {
	for range 10 {
		l.replica(id, term, 0)
		l.pass(200 * time.Millisecond)
	}
	l.replica(id, term, 0)
}

func TestPermission(t *testing.T) {
	tests := []struct {
		name string
		run  func(l *leadership)
		want bool
	}{
		{"nothing known", func(*leadership) {}, false},
		{"no witness", func(l *leadership) { l.primary("a", 1) }, false},
		{"all replicas free", func(l *leadership) {
			l.primary("a", 1)
			l.replica("b", 1, 0)
			l.replica("c", 1, 0)
		}, true},
		{"one replica, just seen", func(l *leadership) {
			l.primary("a", 1)
			l.replica("b", 1, 0)
		}, false},
		{"one replica, long seen", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
		}, true},
		{"one replica, long seen, then lost", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.ObservePossibleRestart("b")
			l.replica("b", 1, 0)
		}, false},
		{"permission over", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.pass(rosegroup.PrimaryLeaseTime)
		}, false},
		{"one fenced, one long free", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.replica("c", 1, 2)
		}, true},
		{"both fenced, permission not over", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.pass(rosegroup.PrimaryLeaseTime / 2)
			l.replica("c", 1, 2)
			l.replica("b", 1, 2)
		}, false},
		{"told to stop", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.RevokePrimary(1)
		}, false},
		{"told to stop an earlier term", func(l *leadership) {
			l.primary("a", 2)
			l.season("b", 2)
			l.RevokePrimary(1)
		}, true},
		{"a newer term seen", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.replica("c", 2, 0)
		}, false},
		{"refused as a replica", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.ObserveNotPrimary("a")
		}, false},
		{"old news of a free replica", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.replica("b", 1, 2)
			old := l.now.Add(-time.Second)
			l.Observe(rosemary.Status{Target: "b", Role: rosemary.RoleReplica, Term: 1}, old)
		}, false},
		{"a target that left is no witness", func(l *leadership) {
			l.primary("a", 1)
			l.season("b", 1)
			l.SetTargets([]rosemary.TargetID{"a", "c"})
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeadership()
			test.run(l)
			term := l.Term()
			qt.Check(t, l.holds("a", max(term, 1)), qt.Equals, test.want)
		})
	}
}

// A replica whose fence ended because its term began vouches at once; one that
// may have restarted doesn't.
func TestFenceThatServedItsTerm(t *testing.T) {
	for _, lost := range []bool{false, true} {
		l := newLeadership()
		l.primary("a", 1)
		l.season("b", 1)
		l.replica("b", 1, 2)
		l.replica("c", 1, 2)
		l.pass(300 * time.Millisecond)
		l.primary("c", 2)
		if lost {
			l.ObservePossibleRestart("b")
		}
		l.replica("b", 2, 0)
		qt.Check(t, l.holds("c", 2), qt.Equals, !lost)
	}
}

// What another proxy has sampled counts by its age, and a restart that either
// has noticed counts.
func TestSharedStatuses(t *testing.T) {
	free := rosemary.Status{Target: "b", Role: rosemary.RoleReplica, Term: 1}
	for _, test := range []struct {
		name      string
		age, free time.Duration
		want      bool
	}{
		{"young and long free", 100 * time.Millisecond, 5 * time.Second, true},
		{"old", rosegroup.PrimaryLeaseTime, 5 * time.Second, false},
		{"just restarted", 100 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLeadership()
			l.primary("a", 1)
			sent := l.now.Add(-test.age)
			l.ObserveShared(rosegroup.SharedStatus{Status: free, SentAt: sent, UnfencedSince: sent.Add(-test.free)})
			qt.Check(t, l.holds("a", 1), qt.Equals, test.want)
		})
	}
}

func TestFloors(t *testing.T) {
	l := newLeadership()
	mark := func(offset uint64) {
		l.primary("a", 1)
		l.replica("b", 1, 0)
		l.replica("c", 1, 0)
		l.ObservePosition("a", 1, rosemary.Position{LogTerm: 1, Offset: offset}, l.now, l.now)
	}
	start := l.now
	for offset := range uint64(10) {
		mark(offset + 1)
		l.pass(100 * time.Millisecond)
	}
	floor, known := l.MinPosition(start.Add(250 * time.Millisecond))
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, floor.Offset, qt.Equals, uint64(4))
	_, known = l.MinPosition(l.now.Add(time.Second))
	qt.Check(t, known, qt.IsFalse)
	qt.Check(t, l.ReachedAt(rosemary.Position{LogTerm: 1, Offset: 4}), qt.Equals, start.Add(300*time.Millisecond))
	qt.Check(t, l.Lag(rosemary.Position{LogTerm: 1, Offset: 4}, l.now), qt.Equals, 600*time.Millisecond)
	qt.Check(t, l.Lag(rosemary.Position{LogTerm: 1, Offset: 10}, l.now), qt.Equals, time.Duration(0))
	// A position told by a primary that is no longer certain sets no floor.
	l.pass(2 * rosegroup.PrimaryLeaseTime)
	l.ObservePosition("a", 1, rosemary.Position{LogTerm: 1, Offset: 99}, l.now, l.now)
	_, known = l.MinPosition(l.now.Add(-time.Millisecond))
	qt.Check(t, known, qt.IsFalse)
}
