package rosegroup_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// fixture is a PrimaryTracker with a clock.
type fixture struct {
	*rosegroup.PrimaryTracker
	now time.Time
}

func newFixture() *fixture {
	f := &fixture{rosegroup.NewPrimaryTracker(), time.Unix(1000, 0)}
	f.SetTargets([]rosemary.TargetID{"a", "b", "c"})
	return f
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) observePrimary(id rosemary.TargetID, term uint64) {
	f.Observe(rosemary.Status{Target: id, Role: rosemary.RolePrimary, Term: term}, f.now)
}

func (f *fixture) observeReplica(id rosemary.TargetID, term, fencedTerm uint64) {
	f.Observe(rosemary.Status{Target: id, Role: rosemary.RoleReplica, Term: term, PausedTerm: fencedTerm}, f.now)
}

func (f *fixture) leads(id rosemary.TargetID, term uint64) bool { return f.IsPrimary(id, term, f.now) }

// observeUnfenced observes an unfenced replica for longer than minUnfencedTime.
func (f *fixture) observeUnfenced(id rosemary.TargetID, term uint64) {
	for range 15 {
		f.observeReplica(id, term, 0)
		f.advance(200 * time.Millisecond)
	}
	f.observeReplica(id, term, 0)
}

func TestPrimaryLease(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture)
		want bool
	}{
		{"no statuses", func(*fixture) {}, false},
		{"no status of a replica", func(f *fixture) { f.observePrimary("a", 1) }, false},
		{"all replicas unfenced", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeReplica("b", 1, 0)
			f.observeReplica("c", 1, 0)
		}, true},
		{"one replica, briefly unfenced", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeReplica("b", 1, 0)
		}, false},
		{"one replica, long unfenced", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
		}, true},
		{"one replica, long unfenced, possible restart", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.ObservePossibleRestart("b")
			f.observeReplica("b", 1, 0)
		}, false},
		{"lease expired", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.advance(rosegroup.PrimaryLeaseTime)
		}, false},
		{"one fenced, one unfenced since before", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeReplica("c", 1, 0)
			f.observeUnfenced("b", 1)
			f.observeReplica("c", 1, 2)
		}, true},
		{"one fenced, one unfenced since a possible restart", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeReplica("c", 1, 0)
			f.advance(200 * time.Millisecond)
			f.ObservePossibleRestart("b")
			f.observeUnfenced("b", 1)
			f.observeReplica("c", 1, 2)
		}, false},
		{"one fenced when first seen, one long unfenced", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.observeReplica("c", 1, 2)
		}, false},
		{"one out of reach after its fence, one long unfenced", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeReplica("c", 1, 2)
			f.ObservePossibleRestart("c")
			f.observeUnfenced("b", 1)
		}, true},
		{"all replicas fenced, PrimaryLeaseTime not over", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.advance(rosegroup.PrimaryLeaseTime / 2)
			f.observeReplica("c", 1, 2)
			f.observeReplica("b", 1, 2)
		}, false},
		{"term revoked", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.RevokePrimary(1, f.now)
		}, false},
		{"guaranteed, replicas out of reach", func(f *fixture) {
			f.observePrimary("a", 1)
			f.ObserveGuarantee(1, f.now, f.now.Add(time.Second))
		}, true},
		{"guarantee ended", func(f *fixture) {
			f.observePrimary("a", 1)
			f.ObserveGuarantee(1, f.now, f.now.Add(time.Second))
			f.advance(time.Second)
		}, false},
		{"guarantee of an earlier term", func(f *fixture) {
			f.ObserveGuarantee(1, f.now, f.now.Add(time.Second))
			f.observePrimary("a", 2)
		}, false},
		{"guaranteed, then revoked", func(f *fixture) {
			f.observePrimary("a", 1)
			f.ObserveGuarantee(1, f.now, f.now.Add(time.Second))
			f.RevokePrimary(1, f.now)
		}, false},
		{"revoked, then guaranteed", func(f *fixture) {
			f.observePrimary("a", 1)
			f.RevokePrimary(1, f.now)
			f.advance(time.Second)
			f.ObserveGuarantee(1, f.now, f.now.Add(time.Second))
			f.observeUnfenced("b", 1)
		}, true},
		{"revoked, a guarantee asked for before", func(f *fixture) {
			f.observePrimary("a", 1)
			askedAt := f.now
			f.advance(time.Millisecond)
			f.RevokePrimary(1, f.now)
			f.ObserveGuarantee(1, askedAt, f.now.Add(time.Second))
			f.observeUnfenced("b", 1)
		}, false},
		{"revoked, guaranteed, revoked again", func(f *fixture) {
			f.observePrimary("a", 1)
			f.RevokePrimary(1, f.now)
			f.advance(time.Millisecond)
			askedAt := f.now
			f.advance(time.Millisecond)
			f.RevokePrimary(1, f.now)
			f.ObserveGuarantee(1, askedAt, f.now.Add(time.Second))
			f.observeUnfenced("b", 1)
		}, false},
		{"later term revoked, then guaranteed", func(f *fixture) {
			f.observePrimary("a", 1)
			f.RevokePrimary(2, f.now)
			f.advance(time.Millisecond)
			f.ObserveGuarantee(1, f.now, f.now.Add(time.Second))
			f.observeUnfenced("b", 1)
		}, false},
		{"earlier term revoked", func(f *fixture) {
			f.observePrimary("a", 2)
			f.observeUnfenced("b", 2)
			f.RevokePrimary(1, f.now)
		}, true},
		{"newer term seen", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.observeReplica("c", 2, 0)
		}, false},
		{"target refuses work as it is not the primary", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.ObserveNotPrimary("a")
		}, false},
		{"late status of an unfenced replica", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.observeReplica("b", 1, 2)
			sentAt := f.now.Add(-time.Second)
			f.Observe(rosemary.Status{Target: "b", Role: rosemary.RoleReplica, Term: 1}, sentAt)
		}, false},
		{"long unfenced replica removed", func(f *fixture) {
			f.observePrimary("a", 1)
			f.observeUnfenced("b", 1)
			f.SetTargets([]rosemary.TargetID{"a", "c"})
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.run(f)
			term := f.Term()
			qt.Check(t, f.leads("a", max(term, 1)), qt.Equals, test.want)
		})
	}
}

// A replica whose fence ended because its term began counts at once for the
// lease of the new primary. One that may have restarted doesn't.
func TestFenceEndedByItsTerm(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newFixture()
		f.observePrimary("a", 1)
		f.observeUnfenced("b", 1)
		f.observeReplica("b", 1, 2)
		f.observeReplica("c", 1, 2)
		f.advance(300 * time.Millisecond)
		f.observePrimary("a", 1)
		f.advance(100 * time.Millisecond)
		f.observePrimary("c", 2)
		if restarted {
			f.ObservePossibleRestart("b")
		}
		f.observeReplica("b", 2, 0)
		qt.Check(t, f.leads("c", 2), qt.Equals, !restarted)
	}
}

// A status from another proxy counts from when that proxy requested it, and for
// as long as that proxy has known the replica to be unfenced.
// TestFenceEndsBeforeItsTermIsSeen guards against a new primary without a lease until its
// predecessor, which is cut off, is no longer registered: a replica may show the end of its
// fence before the new term.
func TestFenceEndsBeforeItsTermIsSeen(t *testing.T) {
	tests := []struct {
		name string
		// untilTerm is how long after the last status with the fence the term is seen.
		untilTerm time.Duration
		want      bool
	}{
		{"at once", 100 * time.Millisecond, true},
		{"late enough for another order", rosegroup.PrimaryLeaseTime, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.observePrimary("a", 1)
			f.observeReplica("b", 1, 0)
			f.observeReplica("c", 1, 0)
			f.advance(time.Second)
			f.ObservePossibleRestart("a")
			f.observeReplica("b", 1, 2)
			f.observeReplica("c", 1, 2)
			f.advance(test.untilTerm - 50*time.Millisecond)
			f.observeReplica("c", 1, 0)
			f.advance(50 * time.Millisecond)
			f.observePrimary("b", 2)
			f.observeReplica("c", 2, 0)
			qt.Check(t, f.leads("b", 2), qt.Equals, test.want)
		})
	}
}

func TestSharedStatuses(t *testing.T) {
	status := rosemary.Status{Target: "b", Role: rosemary.RoleReplica, Term: 1}
	for _, test := range []struct {
		name          string
		age, unfenced time.Duration
		want          bool
	}{
		{"recent and long unfenced", 100 * time.Millisecond, 5 * time.Second, true},
		{"too old", rosegroup.PrimaryLeaseTime, 5 * time.Second, false},
		{"recent and briefly unfenced", 100 * time.Millisecond, 100 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.observePrimary("a", 1)
			sentAt := f.now.Add(-test.age)
			f.ObserveShared(rosegroup.SharedStatus{Status: status, SentAt: sentAt, UnfencedSince: sentAt.Add(-test.unfenced)})
			qt.Check(t, f.leads("a", 1), qt.Equals, test.want)
		})
	}
}

func TestPositions(t *testing.T) {
	f := newFixture()
	observe := func(offset uint64) {
		f.observePrimary("a", 1)
		f.observeReplica("b", 1, 0)
		f.observeReplica("c", 1, 0)
		f.ObservePosition("a", 1, rosemary.Position{LogTerm: 1, Offset: offset}, f.now, f.now)
	}
	start := f.now
	for offset := range uint64(10) {
		observe(offset + 1)
		f.advance(100 * time.Millisecond)
	}
	position, known := f.MinPosition(start.Add(250 * time.Millisecond))
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, position.Offset, qt.Equals, uint64(4))
	_, known = f.MinPosition(f.now.Add(time.Second))
	qt.Check(t, known, qt.IsFalse)
	qt.Check(t, f.ReachedAt(rosemary.Position{LogTerm: 1, Offset: 4}), qt.Equals, start.Add(300*time.Millisecond))
	qt.Check(t, f.Lag(rosemary.Position{LogTerm: 1, Offset: 4}, f.now), qt.Equals, 600*time.Millisecond)
	qt.Check(t, f.Lag(rosemary.Position{LogTerm: 1, Offset: 10}, f.now), qt.Equals, time.Duration(0))
	// A position of a primary whose lease has ended doesn't count.
	f.advance(2 * rosegroup.PrimaryLeaseTime)
	f.ObservePosition("a", 1, rosemary.Position{LogTerm: 1, Offset: 99}, f.now, f.now)
	_, known = f.MinPosition(f.now.Add(-time.Millisecond))
	qt.Check(t, known, qt.IsFalse)
}
