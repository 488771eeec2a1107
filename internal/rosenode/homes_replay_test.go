package rosenode

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
)

const (
	replaySize = 107
	replayStep = time.Second
	// replayRanks is the number of proxies of each zone, of those first in rank for the group,
	// that are played; the others are listed, but are never its homes.
	replayRanks = 10
	// replayLag is how far views differ, deadConns how long a target keeps the connections of a
	// VM without power, leaseTime how long a dead proxy is listed, finishTime how long work on
	// a connection that is given up takes.
	replayLag  = 4 * time.Second
	deadConns  = 3 * time.Second
	leaseTime  = 2 * time.Second
	finishTime = time.Second
)

var replaySettings = rosemary.GroupSettings{Name: "g", MaxConnections: 75}

const replaySlots = 5

// replayProxy is a proxy of a replayed fleet.
type replayProxy struct {
	member rosemary.Member
	// played is set if it may become a home.
	played   bool
	alive    bool
	diedAt   time.Time
	roster   rosedecision.Roster
	handover rosedecision.Handover
	entry    groupHomes
	members  []rosemary.Member
	settled  []rosemary.Member
	// seen is the time of the list that the proxy has.
	seen time.Time
	// held are what it could use at the last steps.
	held [int(finishTime/replayStep) + 1]int
}

// replayFleet is a fleet whose proxies see the members late, each by a lag of its own that
// varies. It counts what the homes of one group could use of a target together.
type replayFleet struct {
	random  *rand.Rand
	start   time.Time
	now     time.Time
	proxies []*replayProxy
	// lists are the lists of members at each step.
	lists [][]rosemary.Member
	// direct leaves the handover and the roster out.
	direct bool
	// most is what a target could have had in use at once, least and mean what live homes
	// could use at least and on average, usual before the changes.
	most, least, usual int
	sum, steps         int
}

func (f *replayFleet) mean() float64 { return float64(f.sum) / float64(f.steps) }

func newReplayFleet(seed uint64, direct bool) *replayFleet {
	f := &replayFleet{random: rand.New(rand.NewPCG(seed, 5)), start: time.Unix(1000, 0), direct: direct}
	f.now = f.start
	// All that are ever there have their ranks.
	var members []rosemary.Member
	for i := range 2 * replaySize {
		m := rosemary.Member{Proxy: rosemary.ProxyID(fmt.Sprintf("p%d", i)), Zone: rosemary.Zone(fmt.Sprint("z", i%3)), Weight: 134 + f.random.IntN(667)}
		members = append(members, m)
		f.proxies = append(f.proxies, &replayProxy{member: m})
	}
	for _, m := range rosepeer.WeightedHomes("g", members, replayRanks) {
		f.proxies[slices.Index(members, m)].played = true
	}
	for i := range replaySize {
		f.boot(i, true)
	}
	f.run(25 * time.Second)
	f.usual = f.usable()
	f.most, f.least, f.sum, f.steps = 0, f.usual, 0, 0
	return f
}

// add starts count more proxies.
func (f *replayFleet) add(count int) {
	for i, p := range f.proxies {
		if count > 0 && !p.alive && p.diedAt.IsZero() {
			f.boot(i, false)
			count--
		}
	}
}

func (f *replayFleet) boot(i int, first bool) {
	before := f.proxies[i]
	f.proxies[i] = &replayProxy{member: before.member, played: before.played, alive: true, diedAt: before.diedAt, seen: f.now, roster: rosedecision.NewRoster(before.member, first, f.now)}
}

func (f *replayFleet) kill(i int) {
	f.proxies[i].alive, f.proxies[i].diedAt = false, f.now
}

// restart kills proxies and starts them again 3 s later.
func (f *replayFleet) restart(indexes []int) {
	for _, i := range indexes {
		f.kill(i)
	}
	f.run(3 * time.Second)
	for _, i := range indexes {
		f.boot(i, false)
	}
}

// alive returns n random indexes of live proxies.
func (f *replayFleet) alive(n int) []int {
	var indexes []int
	for _, i := range f.random.Perm(len(f.proxies)) {
		if f.proxies[i].alive && len(indexes) < n {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

func (f *replayFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(replayStep) {
		var list []rosemary.Member
		for _, p := range f.proxies {
			if p.alive || !p.diedAt.IsZero() && f.now.Sub(p.diedAt) < leaseTime {
				list = append(list, p.member)
			}
		}
		if last := len(f.lists) - 1; last >= 0 && slices.Equal(f.lists[last], list) {
			list = f.lists[last]
		}
		f.lists = append(f.lists, list)
		for _, p := range f.proxies {
			if p.alive && p.played {
				f.step(p)
			}
		}
		inUse := f.inUse()
		f.most = max(f.most, inUse)
		usable := f.usable()
		f.most = max(f.most, usable)
		if slices.ContainsFunc(f.proxies, func(p *replayProxy) bool { return p.alive }) {
			f.least = min(f.least, usable)
		}
		f.sum += usable
		f.steps++
	}
}

// step has a proxy read a list that is up to replayLag old, but not older than its last one.
func (f *replayFleet) step(p *replayProxy) {
	p.seen = maxTime(p.seen, f.now.Add(-time.Duration(f.random.Int64N(int64(replayLag)))))
	members := f.lists[max(0, int(p.seen.Sub(f.start)/replayStep))]
	p.roster = p.roster.WithMembers(members, f.now)
	// Any other proxy may open a link to relay requests.
	other := f.proxies[f.random.IntN(len(f.proxies))]
	if other.alive && other.played && other.roster.LongSettled(p.member.Proxy, f.now) {
		p.roster = p.roster.WithSettled(p.member.Proxy, f.now)
	}
	settled := p.roster.Settled(f.now)
	if f.direct {
		settled = members
	}
	if !slices.Equal(members, p.members) || !slices.Equal(settled, p.settled) {
		p.members, p.settled = members, settled
		p.entry = newGroupHomes(p.member, replaySettings, replaySlots, false, members, settled)
	}
	p.handover = p.handover.WithPart(p.entry.part, f.now)
	copy(p.held[1:], p.held[:])
	p.held[0] = 0
	switch {
	case f.direct && p.entry.home:
		p.held[0] = connLimits(availableConns(replaySettings, replaySlots, false), p.member, p.entry.homes).Max
	case p.entry.home:
		p.held[0] = p.entry.connLimits(p.handover.Usable(f.now)).Max
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// inUse returns the most connections that a target could have in use now.
func (f *replayFleet) inUse() int {
	total := 0
	for _, p := range f.proxies {
		if p.alive || f.now.Sub(p.diedAt) < deadConns {
			total += slices.Max(p.held[:])
		}
	}
	return total
}

// usable returns what live proxies may use: homes, those that others take for homes, and the
// standbys of proxies that reach no home.
func (f *replayFleet) usable() int {
	held := make(map[rosemary.ProxyID]int)
	for _, p := range f.proxies {
		if p.alive {
			held[p.member.Proxy] = p.held[0]
		}
	}
	serve := func(members []rosemary.Member) (served bool) {
		for _, m := range members {
			if part, alive := held[m.Proxy]; alive {
				// The reserve is one connection for five slots and six homes.
				held[m.Proxy], served = max(part, 1), true
			}
		}
		return served
	}
	for _, p := range f.proxies {
		if p.alive && p.played && !serve(p.entry.relay) {
			serve(p.entry.standbys)
		}
	}
	total := 0
	for _, part := range held {
		total += part
	}
	return total
}

// TestReplayedHandover replays fleets whose members change while views differ by up to
// replayLag. What the homes could use of a target together never passes its slots and queue,
// and never falls below its slots; unless many homes are lost at once, three quarters of the
// usual can be used on average.
func TestReplayedHandover(t *testing.T) {
	const room = replaySlots + targetQueue
	seeds := 50
	if testing.Short() {
		seeds = 10
	}
	tests := []struct {
		name string
		play func(f *replayFleet)
		// minMean is the least part of the usual that can be used on average.
		minMean float64
	}{
		{"three quarters added, in three lots", func(f *replayFleet) {
			for range 3 {
				f.add(replaySize / 4)
				f.run(20 * time.Second)
			}
		}, 0.75},
		{"45% restarted, 4 at a time", func(f *replayFleet) {
			for lot := range slices.Chunk(f.alive(replaySize*45/100), 4) {
				f.restart(lot)
			}
			f.run(20 * time.Second)
		}, 0.75},
		{"55% killed at once", func(f *replayFleet) {
			for _, i := range f.alive(replaySize * 55 / 100) {
				f.kill(i)
			}
			f.run(40 * time.Second)
		}, 0},
		{"55% killed at once and started again", func(f *replayFleet) {
			f.restart(f.alive(replaySize * 55 / 100))
			f.run(40 * time.Second)
		}, 0},
		{"one replaced", func(f *replayFleet) {
			f.kill(f.alive(1)[0])
			f.run(2 * time.Second)
			f.add(1)
			f.run(40 * time.Second)
		}, 0.75},
		{"all started again", func(f *replayFleet) {
			f.restart(f.alive(replaySize))
			f.run(40 * time.Second)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			beyond, part := 0, 0.0
			for seed := range uint64(seeds) {
				f, direct := newReplayFleet(seed, false), newReplayFleet(seed, true)
				test.play(f)
				test.play(direct)
				comment := qt.Commentf("seed %d: usual %d, most %d, least %d, mean %.1f", seed, f.usual, f.most, f.least, f.mean())
				qt.Check(t, f.most <= room, qt.IsTrue, comment)
				qt.Check(t, f.least >= replaySlots, qt.IsTrue, comment)
				part += f.mean() / float64(f.usual*seeds)
				if direct.most > room {
					beyond++
				}
			}
			qt.Check(t, part >= test.minMean, qt.IsTrue, qt.Commentf("%.2f of the usual on average", part))
			t.Logf("%.2f of the usual on average; without the handover %d of %d seeds pass the room", part, beyond, seeds)
		})
	}
}
