package rosedecision

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// constant is a rate that doesn't change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestReplayedLoads replays loads beyond the slots. Of what the slots can serve, the users'
// target is that 80% is answered within the aim, and nobody is held much longer than it takes
// to know that the answer would come too late. First come, first served, nearly all answers
// of an overload are late.
func TestReplayedLoads(t *testing.T) {
	const (
		seeds    = 50
		minInAim = 0.8
		service  = 18 * time.Millisecond
		aim      = 250 * time.Millisecond
		deadline = 800 * time.Millisecond
	)
	capacity := func(slots int) float64 { return float64(slots) / service.Seconds() }
	tests := []struct {
		name string
		load load
		// overloaded is for how long the arrivals exceed the slots.
		overloaded time.Duration
	}{
		{"burst of 1.7 times", load{slots: 3, duration: 6 * time.Second, rate: func(at time.Duration) float64 {
			if at > 2*time.Second && at < 4*time.Second {
				return 1.7 * capacity(3) * 0.8
			}
			return 0.6 * capacity(3)
		}}, 2 * time.Second},
		{"two of three slots lost", load{slots: 1, duration: 10 * time.Second, rate: constant(1.5 * capacity(1))}, 10 * time.Second},
		{"reads of lagging replicas on the primary", load{slots: 3, duration: 10 * time.Second, rate: constant(2.5 * capacity(3))}, 10 * time.Second},
		{"half of the clients moved here", load{slots: 3, duration: 10 * time.Second, rate: constant(1.3 * capacity(3))}, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.load.service, test.load.aim, test.load.deadline = service, aim, deadline
			for seed := range uint64(seeds) {
				result := replay(test.load, seed, true)
				served := min(float64(result.arrived), capacity(test.load.slots)*test.load.duration.Seconds())
				comment := qt.Commentf("seed %d: %+v", seed, result)
				qt.Check(t, float64(result.inAim) >= minInAim*served, qt.IsTrue, comment)
				qt.Check(t, result.longestWait <= aim+OverloadThreshold, qt.IsTrue, comment)
				qt.Check(t, result.expired, qt.Equals, 0, comment)
			}
		})
	}
	t.Run("first come, first served", func(t *testing.T) {
		l := tests[2].load
		l.service, l.aim, l.deadline = service, aim, deadline
		result := replay(l, 1, false)
		qt.Check(t, float64(result.inAim) < minInAim*capacity(3)*l.duration.Seconds(), qt.IsTrue, qt.Commentf("%+v", result))
	})
}

func TestTurnOrder(t *testing.T) {
	now := time.Unix(100, 0)
	order := []Turn{
		{Priority: 1, Deadline: now.Add(3 * time.Second), Sequence: 9},
		{Priority: 2, Deadline: now.Add(time.Second), Sequence: 8},
		{Priority: 2, Deadline: now.Add(2 * time.Second), Sequence: 3},
		{Priority: 2, Deadline: now.Add(2 * time.Second), Sequence: 4},
	}
	for i := range order {
		for j := range order {
			qt.Check(t, order[i].Before(order[j]), qt.Equals, i < j, qt.Commentf("%d and %d", i, j))
		}
	}
}

func TestQueueWait(t *testing.T) {
	tests := []struct {
		queue Queue
		wait  time.Duration
	}{
		{Queue{Idle: 1, Open: 3, Limit: 3, HoldTime: time.Second}, 0},
		{Queue{Open: 2, Limit: 3, HoldTime: time.Second}, 0},
		{Queue{Open: 3, Limit: 3, HoldTime: 30 * time.Millisecond}, 10 * time.Millisecond},
		{Queue{Open: 3, Limit: 3, HoldTime: 30 * time.Millisecond, Ahead: 2}, 30 * time.Millisecond},
	}
	for _, test := range tests {
		qt.Check(t, test.queue.Wait(), qt.Equals, test.wait, qt.Commentf(fmt.Sprintf("%+v", test.queue)))
	}
}
