package rosecap_test

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

const (
	replayTeams = 78
	// replayRate is the operations a second that all teams ask for, replayCap how many times
	// that their caps allow.
	replayRate = 1000
	replayCap  = 1.6
	// replayStart is the time before a replay's fault, replayEnd that after it.
	replayStart = 15 * time.Second
	replayEnd   = 15 * time.Second
	// hotFactor is how many times its usual load the hot team of a replay asks for.
	hotFactor = 7.5
)

// loads are the replayed loads: what happens at a time after the fault.
var loads = []struct {
	name string
	step func(f *fleet, at time.Duration)
	// hot is set if the second largest team asks for hotFactor times its usual load.
	hot bool
}{
	{name: "calm"},
	{name: "hot-team", hot: true},
	{name: "herd-loss", step: func(f *fleet, at time.Duration) {
		if at == 0 {
			f.kill(0.55, time.Second)
		}
	}},
	{name: "all-lost", step: func(f *fleet, at time.Duration) {
		if at == 0 {
			f.kill(1, time.Second)
		}
	}},
	{name: "restarts-beside-cut", step: func(f *fleet, at time.Duration) {
		if at == 5*time.Second {
			f.cutZone(0, 6*time.Second)
		}
		if at%(500*time.Millisecond) == 0 && at < 5*time.Second {
			p := f.proxies[int(at/(500*time.Millisecond))*2]
			f.restart(p)
			p.deadUntil = f.clock.now.Add(time.Second)
		}
	}},
	{name: "host-lost-in-cut", step: func(f *fleet, at time.Duration) {
		if at == 0 {
			f.cutZone(0, 12*time.Second)
			f.restart(f.hosts[0])
			f.hosts[0].deadUntil = f.clock.now.Add(time.Second)
		}
	}},
}

// kill has a part of the proxies lose power for a time.
func (f *fleet) kill(part float64, length time.Duration) {
	for _, n := range f.random.Perm(len(f.proxies))[:int(math.Ceil(part*float64(len(f.proxies))))] {
		f.restart(f.proxies[n])
		f.proxies[n].deadUntil = f.clock.now.Add(length)
	}
}

func (f *fleet) cutZone(zone int, length time.Duration) {
	for n, p := range f.proxies {
		if n%zones == zone {
			p.cutUntil = f.clock.now.Add(length)
		}
	}
}

// replayCaps returns teams whose sizes fall off with their rank.
func replayCaps() []roseteam.Team {
	var sum float64
	for n := range replayTeams {
		sum += math.Pow(float64(n+1), -0.8)
	}
	var teams []roseteam.Team
	for n := range replayTeams {
		rate := math.Ceil(replayCap * replayRate * math.Pow(float64(n+1), -0.8) / sum)
		teams = append(teams, team(fmt.Sprint("t", n), rate, rate))
	}
	return teams
}

// outcome is what a replayed load has come to.
type outcome struct {
	asked, allowed, served int
	// lost is the number of operations below the caps of their teams that weren't served,
	// lostLate that of those from half a second after the loss of power has ended on.
	lost, lostLate int
	exchanges      int
	worst          float64
}

// replay plays a load and returns what came of it.
func replay(seed uint64, step func(*fleet, time.Duration), hot bool) outcome {
	teams := replayCaps()
	f := newFleet(seed, usual, teams...)
	begin := f.clock.now.Add(replayStart)
	f.resetCounts()
	offer := func() {
		f.advance()
		for n, t := range teams {
			rate := t.Cap.Rate / replayCap
			if hot && n == 1 && f.clock.now.After(begin) {
				rate *= hotFactor
			}
			f.offerEvenly(t.Name, rate)
		}
	}
	for f.clock.now.Before(begin) {
		offer()
	}
	f.resetCounts()
	var o outcome
	late := 0
	for at := time.Duration(0); at < replayEnd; at += 5 * time.Millisecond {
		if step != nil {
			step(f, at)
		}
		if at == 1500*time.Millisecond {
			late = f.lost()
		}
		offer()
	}
	// Those that wait have come to an end.
	for range 100 {
		f.advance()
	}
	for _, t := range teams {
		o.asked += f.asked[t.Name]
		o.allowed += f.meters[t.Name].allowed
		o.served += f.asked[t.Name] - f.refused[t.Name]
		o.worst = max(o.worst, worstExcess(f.ran[t.Name], *t.Cap, usual))
	}
	o.lost, o.exchanges = f.lost(), f.exchanges
	o.lostLate = o.lost - late
	return o
}

// lost returns the number of operations within the caps that were refused so far.
func (f *fleet) lost() int {
	lost := 0
	for _, t := range f.teams.Teams() {
		lost += max(f.meters[t.Name].allowed-(f.asked[t.Name]-f.refused[t.Name]), 0)
	}
	return lost
}

// offerEvenly asks at a rate, at any working proxy.
func (f *fleet) offerEvenly(team string, rate float64) {
	for wanted := rate * step.Seconds(); wanted > 0; wanted-- {
		if f.random.Float64() >= wanted {
			continue
		}
		n := f.random.IntN(len(f.proxies))
		for range f.proxies {
			if f.works(f.proxies[n]) {
				f.ask(f.proxies[n], team)
				break
			}
			n = (n + zones) % len(f.proxies)
		}
	}
}

// TestReplayedLoads compares what each load has come to with testdata/replay.golden; further
// seeds are played for the bound alone.
func TestReplayedLoads(t *testing.T) {
	seeds := 5
	if testing.Short() {
		seeds = 1
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-20s %8s %8s %8s %8s %8s %10s\n", "load", "asked", "allowed", "served", "lost", "late", "exchanges")
	for _, l := range loads {
		for seed := range seeds {
			o := replay(uint64(seed), l.step, l.hot)
			if seed == 0 {
				fmt.Fprintf(&table, "%-20s %8d %8d %8d %8d %8d %10d\n", l.name, o.asked, o.allowed, o.served, o.lost, o.lostLate, o.exchanges)
			}
			qt.Check(t, o.worst <= 0, qt.IsTrue, qt.Commentf("%s, seed %d: %v operations above the bound", l.name, seed, o.worst))
		}
	}
	t.Log("\n" + table.String())
	golden, err := os.ReadFile(filepath.Join("testdata", "replay.golden"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, table.String(), qt.Equals, string(golden))
}
