package rosesupervisor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

func seen(id string) rosefleet.TargetView {
	return rosefleet.TargetView{TargetRegistration: rosemary.TargetRegistration{Target: rosemary.Target{ID: rosemary.TargetID(id)}}, SeenAt: time.Unix(1, 0)}
}

// led is a group that a leads.
func led(change func(v *rosefleet.View)) rosefleet.View {
	v := rosefleet.View{
		Term: 1, HasPrimary: true, HasPrimaryView: true, PrimaryValid: true, Primary: rosegroup.PrimaryLease{Target: "a", Term: 1},
		PrimaryView: seen("a"), Targets: []rosefleet.TargetView{seen("a"), seen("b"), seen("c")},
	}
	change(&v)
	return v
}

func TestAssessReplacement(t *testing.T) {
	tests := []struct {
		name   string
		change func(v *rosefleet.View)
		want   Action
	}{
		{"led", func(*rosefleet.View) {}, ActionNone},
		{"refused", func(v *rosefleet.View) { v.PrimaryView.UnreachableFor, v.PrimaryView.ConnectionRefused = 1, true }, ActionFailover},
		{"silent", func(v *rosefleet.View) { v.PrimaryView.UnreachableFor = 1 }, ActionFailover},
		{"leaving", func(v *rosefleet.View) { v.PrimaryView.Leaving = true }, ActionSwitchover},
		{"without a primary", func(v *rosefleet.View) { v.HasPrimary, v.HasPrimaryView = false, false }, ActionFailover},
		{"a target of which nothing is known", func(v *rosefleet.View) {
			v.HasPrimary, v.HasPrimaryView = false, false
			v.Targets[1].SeenAt = time.Time{}
		}, ActionNone},
		{"a promotion left half-way", func(v *rosefleet.View) {
			v.PrimaryValid = false
			v.Targets[1].Status.PausedTerm = 2
		}, ActionFailover},
		{"uncertain without a fence", func(v *rosefleet.View) { v.PrimaryValid = false }, ActionNone},
		{"nothing heard yet", func(v *rosefleet.View) { v.Term = 0 }, ActionNone},
		{"alone", func(v *rosefleet.View) { v.Targets = v.Targets[:1] }, ActionNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			need, _ := AssessReplacement(led(test.change))
			qt.Check(t, need, qt.Equals, test.want)
		})
	}
}

// A proxy that is cut off with some others may not replace a primary, though
// all of them miss it.
func TestAgreed(t *testing.T) {
	tests := []struct {
		name                          string
		members, replied, reach, miss int
		known, want                   bool
	}{
		{"all miss it", 6, 5, 0, 5, true, true},
		{"all others reach it", 6, 5, 5, 0, true, false},
		{"a third misses it", 6, 5, 4, 1, true, true},
		{"few of many miss it", 12, 11, 10, 1, true, false},
		{"alone in a cut", 6, 0, 0, 0, true, false},
		{"two of six in a cut", 6, 1, 0, 1, true, false},
		{"half of all", 6, 2, 0, 2, true, true},
		{"nobody knows", 6, 5, 0, 0, true, false},
		{"no primary known", 6, 5, 0, 0, false, true},
		{"no primary known, alone", 6, 0, 0, 0, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, ReplacementAgreed(test.members, test.replied, test.reach, test.miss, test.known), qt.Equals, test.want)
		})
	}
}

func TestChooseSuccessor(t *testing.T) {
	at := func(id string, offset uint64) rosemary.Status {
		return rosemary.Status{Target: rosemary.TargetID(id), Position: rosemary.Position{LogTerm: 1, Offset: offset}}
	}
	view := led(func(v *rosefleet.View) { v.Targets[0].Leaving = true })
	tests := []struct {
		name   string
		fenced []rosemary.Status
		old    rosemary.Status
		want   rosemary.TargetID
	}{
		{"the most of the log", []rosemary.Status{at("b", 4), at("c", 5)}, rosemary.Status{}, "c"},
		{"not the one that leaves", []rosemary.Status{at("a", 5), at("b", 5)}, at("a", 5), "b"},
		{"the old primary if only it has all", []rosemary.Status{at("b", 4), at("a", 5)}, at("a", 5), "a"},
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
