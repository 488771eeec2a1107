package rosedecision

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// relayInterval separates the requests of a replay, relaySilence is how long after a
	// request a silent home is noticed, relayDuration how long the replay lasts.
	relayInterval = 5 * time.Millisecond
	relaySilence  = 500 * time.Millisecond
	relayDuration = 20 * time.Second
)

// replayRelays relays requests, 5 ms apart, over five homes, of which the first is in the
// relaying proxy's zone. answer returns how long a home takes for a request, zero if it never
// answers, which is noticed after relaySilence. It returns the share of the requests that went
// to each home, and that were lost.
func replayRelays(seed uint64, answer func(home int, at time.Duration, random *rand.Rand) time.Duration) (shares []float64, lost float64) {
	type ending struct {
		home   int
		at     time.Duration
		took   time.Duration
		silent bool
	}
	random := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(1000, 0)
	homes := make([]Home, 5)
	for i := range homes {
		homes[i] = Home{Member: rosemary.Member{Proxy: rosemary.ProxyID(fmt.Sprint(i))}, SameZone: i == 0}
	}
	shares = make([]float64, len(homes))
	var open []ending
	requests := 0.0
	for at := time.Duration(0); at < relayDuration; at += relayInterval {
		kept := open[:0]
		for _, e := range open {
			record := &homes[e.home].Record
			switch {
			case e.at > at:
				kept = append(kept, e)
				continue
			case e.silent:
				*record = record.WithLoss(start.Add(e.at))
				lost++
			default:
				*record = record.WithAnswer(e.took, 0, start.Add(e.at))
			}
			*record = record.WithInFlight(record.InFlight - 1)
		}
		open = kept
		first := OrderHomes(homes, start.Add(at))[0]
		var index int
		_, _ = fmt.Sscan(string(first.Member.Proxy), &index)
		homes[index].Record = homes[index].Record.WithInFlight(homes[index].Record.InFlight + 1)
		took := answer(index, at, random)
		if took == 0 {
			open = append(open, ending{home: index, at: at + relaySilence, silent: true})
		} else {
			open = append(open, ending{home: index, at: at + took, took: took})
		}
		shares[index]++
		requests++
	}
	for i := range shares {
		shares[i] /= requests
	}
	return shares, lost / requests
}

// TestReplayedHomes replays a fleet whose homes are slow or silent for a while. Only what is
// sent before a silence is noticed, and one request that tries the home again, may be lost.
func TestReplayedHomes(t *testing.T) {
	const (
		seeds         = 50
		lostToSilence = float64(relaySilence+2*relayInterval) / float64(relayDuration)
	)
	normal := func(random *rand.Rand) time.Duration {
		return time.Duration((10 + 30*random.Float64()) * float64(time.Millisecond))
	}
	tests := []struct {
		name   string
		answer func(home int, at time.Duration, random *rand.Rand) time.Duration
		// minFirst and maxFirst bound the share of the home in the zone, maxLost that of the
		// requests that got no answer.
		minFirst, maxFirst, maxLost float64
	}{
		{"all alike", func(_ int, _ time.Duration, random *rand.Rand) time.Duration { return normal(random) }, 0.9, 1, 0},
		{"the zone's home slow", func(home int, _ time.Duration, random *rand.Rand) time.Duration {
			if home == 0 {
				return 15 * normal(random)
			}
			return normal(random)
		}, 0, 0.15, 0},
		{"the zone's home silent for 5 s of 20 s", func(home int, at time.Duration, random *rand.Rand) time.Duration {
			if home == 0 && at > 5*time.Second && at < 10*time.Second {
				return 0
			}
			return normal(random)
		}, 0.4, 1, lostToSilence},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				shares, lost := replayRelays(seed, test.answer)
				comment := qt.Commentf("seed %d: %.2f, lost %.3f", seed, shares, lost)
				qt.Check(t, shares[0] >= test.minFirst && shares[0] <= test.maxFirst, qt.IsTrue, comment)
				qt.Check(t, lost <= test.maxLost, qt.IsTrue, comment)
			}
		})
	}
}
