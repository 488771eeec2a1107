package rosenode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

func TestMergeRegistrations(t *testing.T) {
	registration := func(id string, born, sequence int64, leaving bool) rosemary.TargetRegistration {
		return rosemary.TargetRegistration{Target: rosemary.Target{ID: rosemary.TargetID(id)}, Incarnation: born, Sequence: sequence, Leaving: leaving}
	}
	tests := []struct {
		name              string
		known, read, want []rosemary.TargetRegistration
	}{
		{"missing in the store", []rosemary.TargetRegistration{registration("a", 1, 5, false)}, nil, []rosemary.TargetRegistration{registration("a", 1, 5, false)}},
		{
			"older in the store",
			[]rosemary.TargetRegistration{registration("a", 1, 5, true)},
			[]rosemary.TargetRegistration{registration("a", 1, 4, false)},
			[]rosemary.TargetRegistration{registration("a", 1, 5, true)},
		},
		{
			"newer in the store",
			[]rosemary.TargetRegistration{registration("a", 1, 5, false)},
			[]rosemary.TargetRegistration{registration("a", 1, 6, true)},
			[]rosemary.TargetRegistration{registration("a", 1, 6, true)},
		},
		{
			"restarted",
			[]rosemary.TargetRegistration{registration("a", 1, 5, false)},
			[]rosemary.TargetRegistration{registration("a", 2, 1, false)},
			[]rosemary.TargetRegistration{registration("a", 2, 1, false)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, mergeRegistrations(test.known, test.read), qt.DeepEquals, test.want)
		})
	}
}

func TestLeavingTargetKeepsTheTimeItWasReady(t *testing.T) {
	start := time.Unix(1000, 0)
	registration := func(id string, born int64, leaving bool, readyAt time.Time) rosemary.TargetRegistration {
		return rosemary.TargetRegistration{Target: rosemary.Target{ID: rosemary.TargetID(id)}, Incarnation: born, Leaving: leaving, LastReadyAt: readyAt}
	}
	known := []rosemary.TargetRegistration{registration("a", 1, false, start)}
	readAt := start.Add(time.Second)
	tests := []struct {
		name       string
		read, want rosemary.TargetRegistration
	}{
		{"ready", registration("a", 1, false, time.Time{}), registration("a", 1, false, readAt)},
		{"leaving", registration("a", 1, true, time.Time{}), registration("a", 1, true, start)},
		{"leaving when first seen", registration("b", 1, true, time.Time{}), registration("b", 1, true, time.Time{})},
		{"leaving after a restart", registration("a", 2, true, time.Time{}), registration("a", 2, true, time.Time{})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			read := withReadyTimes([]rosemary.TargetRegistration{test.read}, readAt)
			got, gotAt := newerTargets(known, start, read, readAt)
			qt.Check(t, got, qt.DeepEquals, []rosemary.TargetRegistration{test.want})
			qt.Check(t, gotAt, qt.Equals, readAt)
		})
	}
}

func TestOlderReadDoesNotReplaceANewerOne(t *testing.T) {
	start := time.Unix(1000, 0)
	registration := func(leaving bool, readyAt time.Time) rosemary.TargetRegistration {
		return rosemary.TargetRegistration{Target: rosemary.Target{ID: "a"}, Leaving: leaving, LastReadyAt: readyAt}
	}
	known := []rosemary.TargetRegistration{registration(true, start)}
	older := []rosemary.TargetRegistration{registration(false, start.Add(time.Second))}
	got, gotAt := newerTargets(known, start.Add(2*time.Second), older, start.Add(time.Second))
	qt.Check(t, got, qt.DeepEquals, []rosemary.TargetRegistration{registration(true, start.Add(time.Second))})
	qt.Check(t, gotAt, qt.Equals, start.Add(2*time.Second))
}
