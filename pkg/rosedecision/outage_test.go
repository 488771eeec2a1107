package rosedecision

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReplayedOutages replays outages of a group's primary, as after a crash, in silence and
// with the platform refusing promotions. Refused clients come back when they are told: at most
// a quarter of them too early, and the median waits at most 1 s longer than needed.
func TestReplayedOutages(t *testing.T) {
	const (
		seeds       = 50
		maxTooEarly = 0.25
		maxWaste    = time.Second
	)
	tests := []struct {
		name           string
		shortest, long time.Duration
	}{
		{"crashes", 1600 * time.Millisecond, 2200 * time.Millisecond},
		{"planned", 600 * time.Millisecond, 900 * time.Millisecond},
		{"silent primaries", 2 * time.Second, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tooEarly, returns := 0, 0
			var waste []time.Duration
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 4))
				now, outage := time.Unix(1000, 0), Outage{}
				for n := range 6 {
					lasts := test.shortest + time.Duration(random.Float64()*float64(test.long-test.shortest))
					endsAt := now.Add(lasts)
					for ; now.Before(endsAt); now = now.Add(25 * time.Millisecond) {
						outage = outage.WithPrimary(false, now)
						// The first outages teach the estimate.
						if n < 2 {
							continue
						}
						back := now.Add(outage.ReturnAfter(now, random.Float64()))
						returns++
						if back.Before(endsAt) {
							tooEarly++
						}
						waste = append(waste, max(back.Sub(endsAt), 0))
					}
					now = endsAt
					outage = outage.WithPrimary(true, now)
					now = now.Add(time.Minute)
				}
			}
			slices.Sort(waste)
			median := waste[len(waste)/2]
			qt.Check(t, float64(tooEarly) <= maxTooEarly*float64(returns), qt.IsTrue, qt.Commentf("%d of %d too early", tooEarly, returns))
			qt.Check(t, median <= maxWaste, qt.IsTrue, qt.Commentf("median %v", median))
		})
	}
}
