package rosedecision

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replayReads sends reads, 4 ms apart, to the cheapest of three targets of which the first
// fails as failing tells, and returns the shares of all reads that failed and that the first
// target got. A failure is known after hold, for which it takes a connection.
func replayReads(seed uint64, duration, hold time.Duration, failing func(at time.Duration, random *rand.Rand) bool) (failed, first float64) {
	const interval = 4 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(1000, 0)
	targets := make([]Target, 3)
	for i := range targets {
		targets[i] = Target{ResponseTime: 18 * time.Millisecond, Limit: 3}
	}
	reads := 0
	var hanging []time.Time
	for at := time.Duration(0); at < duration; at += interval {
		now := start.Add(at)
		for len(hanging) > 0 && !now.Before(hanging[0]) {
			hanging = hanging[1:]
			targets[0].Reliability = targets[0].Reliability.WithOutcome(true, now)
		}
		targets[0].InUse = len(hanging)
		best, lowest := 0, time.Duration(0)
		for i, target := range targets {
			if cost := target.Cost(now, random.Float64()); i == 0 || cost < lowest {
				best, lowest = i, cost
			}
		}
		fails := best == 0 && failing(at, random)
		if fails && hold > 0 {
			hanging = append(hanging, now.Add(hold))
		} else {
			targets[best].Reliability = targets[best].Reliability.WithOutcome(fails, now)
		}
		reads++
		if fails {
			failed++
		}
		if best == 0 {
			first++
		}
	}
	return failed / float64(reads), first / float64(reads)
}

// TestReplayedTargets replays a grey and a flapping target. With an even split a third of
// their failures would reach clients; the target is a tenth of that. A target that fails no
// more has to get its share again.
func TestReplayedTargets(t *testing.T) {
	const seeds = 50
	tests := []struct {
		name      string
		failing   func(at time.Duration, random *rand.Rand) bool
		maxFailed float64
	}{
		{"grey: 40% fail", func(_ time.Duration, random *rand.Rand) bool { return random.Float64() < 0.4 }, 0.4 / 3 / 10},
		{"flapping: down for 1.7 s of 3.4 s", func(at time.Duration, _ *rand.Rand) bool { return at%(3400*time.Millisecond) < 1700*time.Millisecond }, 0.5 / 3 / 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				failed, _ := replayReads(seed, 20*time.Second, 0, test.failing)
				qt.Check(t, failed <= test.maxFailed, qt.IsTrue, qt.Commentf("seed %d: %.4f of the reads failed", seed, failed))
			}
		})
	}
	t.Run("recovered", func(t *testing.T) {
		for seed := range uint64(seeds) {
			_, first := replayReads(seed, 40*time.Second, 0, func(at time.Duration, _ *rand.Rand) bool { return at < 2*time.Second })
			qt.Check(t, first >= 0.2, qt.IsTrue, qt.Commentf("seed %d: the first target got %.2f of the reads", seed, first))
		}
	})
}

// TestReplayedHangs replays a target that hangs on 45% of its reads for 6.5 s, and one that
// hangs by turns. Each hang costs a session a wait of 400 ms, after which it goes elsewhere:
// a home may lose one for each connection before the first is noticed, and then two a second.
func TestReplayedHangs(t *testing.T) {
	const seeds, duration, hanging, wait, connections, readsPerSecond = 50, 20 * time.Second, 6500 * time.Millisecond, 400 * time.Millisecond, 3, 250
	for name, failing := range map[string]func(at time.Duration, random *rand.Rand) bool{
		"grey": func(at time.Duration, random *rand.Rand) bool {
			return at > time.Second && at < time.Second+hanging && random.Float64() < 0.45
		},
		"flapping": func(at time.Duration, _ *rand.Rand) bool { return at%(3400*time.Millisecond) < 1700*time.Millisecond },
	} {
		for seed := range uint64(seeds) {
			failed, _ := replayReads(seed, duration, wait, failing)
			waits := failed * readsPerSecond * duration.Seconds()
			qt.Check(t, waits <= connections+2*hanging.Seconds(), qt.IsTrue, qt.Commentf("%s, seed %d: %.0f waits", name, seed, waits))
		}
	}
}

func TestTargetCost(t *testing.T) {
	now := time.Unix(100, 0)
	plain := Target{ResponseTime: 10 * time.Millisecond, Limit: 2}
	tests := []struct {
		name   string
		change func(*Target)
		cost   time.Duration
	}{
		{"idle", func(*Target) {}, 10 * time.Millisecond},
		{"busy", func(t *Target) { t.InUse = 1 }, 15 * time.Millisecond},
		{"queued", func(t *Target) { t.InUse, t.Waiting = 2, 2 }, 40 * time.Millisecond},
		{"in another zone", func(t *Target) { t.OtherZone = true }, 16 * time.Millisecond},
		{"primary", func(t *Target) { t.Primary = true }, 25 * time.Millisecond},
		{"avoided", func(t *Target) { t.Avoid = true }, 1010 * time.Millisecond},
		{"failing", func(t *Target) { t.Reliability = t.Reliability.WithOutcome(true, now) }, 90 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := plain
			test.change(&target)
			qt.Check(t, target.Cost(now, 0.5), qt.Equals, test.cost)
		})
	}
}
