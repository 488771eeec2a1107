package rosenode

import (
	"testing"

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
			"older in the store", []rosemary.TargetRegistration{registration("a", 1, 5, true)},
			[]rosemary.TargetRegistration{registration("a", 1, 4, false)}, []rosemary.TargetRegistration{registration("a", 1, 5, true)},
		},
		{
			"newer in the store", []rosemary.TargetRegistration{registration("a", 1, 5, false)},
			[]rosemary.TargetRegistration{registration("a", 1, 6, true)}, []rosemary.TargetRegistration{registration("a", 1, 6, true)},
		},
		{
			"restarted", []rosemary.TargetRegistration{registration("a", 1, 5, false)},
			[]rosemary.TargetRegistration{registration("a", 2, 1, false)}, []rosemary.TargetRegistration{registration("a", 2, 1, false)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, mergeRegistrations(test.known, test.read), qt.DeepEquals, test.want)
		})
	}
}
