package rosedecision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
)

func TestMovePrimaryFromStalledReplicas(t *testing.T) {
	stalled := rosedecision.StalledReplica{Lag: 36 * time.Second}
	behind := rosedecision.StalledReplica{Lag: 50 * time.Second, ReceivedLag: 4 * time.Second}
	healthy := rosedecision.StalledReplica{Lag: 150 * time.Millisecond}
	leaving := rosedecision.StalledReplica{Lag: 36 * time.Second, Leaving: true}
	tests := []struct {
		name      string
		replicas  []rosedecision.StalledReplica
		queuedFor time.Duration
		want      bool
	}{
		{"all stalled, one has the log", []rosedecision.StalledReplica{stalled, behind}, time.Second, true},
		{"nobody waits", []rosedecision.StalledReplica{stalled, behind}, 100 * time.Millisecond, false},
		{"one serves", []rosedecision.StalledReplica{stalled, healthy}, time.Second, false},
		{"none has the log", []rosedecision.StalledReplica{behind, behind}, time.Second, false},
		{"the one with the log leaves", []rosedecision.StalledReplica{leaving, behind}, time.Second, false},
		{"no replica answers", nil, time.Second, false},
	}
	for _, test := range tests {
		stall := rosedecision.Stall{Replicas: test.replicas, QueuedFor: test.queuedFor}
		qt.Check(t, stall.MovePrimary(), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// Records received while a replica lags are applied up to 63 s later, in order: the
// reported lag only falls with time. With clients that wait, the primary is moved within a
// second of the end of the spell, and otherwise never.
func TestStallReplay(t *testing.T) {
	const step = 25 * time.Millisecond
	for _, busy := range []bool{true, false} {
		queuedFor, movedAt := time.Duration(0), time.Duration(0)
		for at := time.Duration(0); at < 41*time.Second; at += step {
			replica := rosedecision.StalledReplica{Lag: 150 * time.Millisecond}
			if at > 7*time.Second {
				replica.Lag = 63*time.Second - at
			}
			if busy && at > 10*time.Second {
				queuedFor += step
			}
			stall := rosedecision.Stall{Replicas: []rosedecision.StalledReplica{replica, replica}, QueuedFor: queuedFor}
			if stall.MovePrimary() && movedAt == 0 {
				movedAt = at
			}
		}
		qt.Check(t, movedAt > 0, qt.Equals, busy)
		qt.Check(t, movedAt <= 11*time.Second, qt.IsTrue, qt.Commentf("moved at %v", movedAt))
	}
}
