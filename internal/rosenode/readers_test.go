package rosenode

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// Every proxy asks two others or is the root, and following the first ones leads to the root
// in at most two steps.
func TestReadingLeadsToTheRoot(t *testing.T) {
	for _, perZone := range [][]int{{5, 5, 3}, {20, 20, 20}, {39, 35, 40, 36, 45}, {116, 116, 90}, {13}} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			members := proxies(perZone...)
			byName := make(map[rosemary.ProxyID]reading)
			askedBy := make(map[rosemary.ProxyID]int)
			roots := 0
			for _, m := range members {
				r := newReading(m, members)
				byName[m.Proxy] = r
				if r.root {
					roots++
				}
				for _, id := range r.asked {
					qt.Check(t, id, qt.Not(qt.Equals), m.Proxy)
				}
				if len(r.asked) > 0 {
					askedBy[r.asked[0]]++
				}
			}
			qt.Check(t, roots, qt.Equals, 1)
			for name, r := range byName {
				steps := 0
				for ; !r.root && steps < 3 && len(r.asked) > 0; steps++ {
					r = byName[r.asked[0]]
				}
				qt.Check(t, r.root, qt.IsTrue, qt.Commentf("%s after %d steps", name, steps))
			}
			for name, count := range askedBy {
				qt.Check(t, count <= 3*proxiesPerReader, qt.IsTrue, qt.Commentf("%d ask %s", count, name))
			}
		})
	}
	small := newReading(proxies(4, 4, 4)[0], proxies(4, 4, 4))
	qt.Check(t, small.root || len(small.asked) > 0, qt.IsFalse)
}

// TestReadingWithoutItself guards against a proxy that ends by itself because a stale list of
// members lacks it, its zone or all others.
func TestReadingWithoutItself(t *testing.T) {
	elsewhere := func(m rosemary.Member) rosemary.Member {
		m.Zone = "z9"
		return m
	}
	for _, perZone := range [][]int{{5, 5, 3}, {5, 5, 1}, {6, 6, 2}, {12, 1}, {13}, {40, 40, 40}, {41, 41, 42}, {81, 2, 1}} {
		all := proxies(perZone...)
		for n, self := range all {
			without := slices.Delete(slices.Clone(all), n, n+1)
			moved := slices.Insert(slices.Clone(without), n, elsewhere(self))
			others := slices.DeleteFunc(slices.Clone(all), func(m rosemary.Member) bool { return m.Zone == self.Zone })
			for name, members := range map[string][]rosemary.Member{
				"itself": without, "its zone": others, "all": nil, "in another zone": moved,
			} {
				comment := qt.Commentf("%s of %v lacks %s", self.Proxy, perZone, name)
				r := newReading(self, members)
				for _, id := range r.asked {
					qt.Check(t, id != self.Proxy && isAmong(id, members), qt.IsTrue, comment)
				}
				if len(members) > unsharedReads {
					qt.Check(t, r.root || len(r.asked) > 0, qt.IsTrue, comment)
				}
			}
		}
	}
}

// News that is older than what is known changes nothing.
func TestNewsOlderThanKnown(t *testing.T) {
	c := qt.New(t)
	n := New(Config{Self: rosemary.Member{Proxy: "p"}, Clock: roseclock.Runtime{}, Store: emptyStore{}})
	registration := func(leaving bool) []rosemary.TargetRegistration {
		return []rosemary.TargetRegistration{{Target: rosemary.Target{ID: "t-1", Address: "a:1", Zone: "z"}, Group: "g", Slots: 3, Leaving: leaving}}
	}
	now := n.config.Clock.Now()
	n.replaceTargets(registration(true), now.Add(-time.Second), false)
	n.apply(&rosemary.Configuration{Version: 9}, sourceRead)
	n.confirmConfiguration(now.Add(-time.Second))
	old := uint64(5000)
	n.hearTargets(rosewire.Reply{Yes: true, AgeMs: &old}, now)
	c.Check(n.targetsReadAt, qt.Equals, now.Add(-time.Second))
	n.hearTargets(rosewire.Reply{AgeMs: &old, Targets: []rosewire.Registration{encodeRegistration(registration(false)[0], now)}}, now)
	c.Check(n.registrations[0].Leaving, qt.IsTrue)
	n.hearConfiguration("q", 8, now)
	c.Check(n.configurationAge() >= time.Second, qt.IsTrue)
	n.hearConfiguration("q", 9, now.Add(-5*time.Second))
	c.Check(n.configurationAge() < 2*time.Second, qt.IsTrue)
}

// A proxy without a configuration, or that never knew it to be the newest, tells nothing; one
// that has the same targets as the sender leaves them out.
func TestDescribeStore(t *testing.T) {
	c := qt.New(t)
	n := New(Config{Self: rosemary.Member{Proxy: "p"}, Clock: roseclock.Runtime{}, Store: emptyStore{}})
	now := n.config.Clock.Now()
	c.Check(n.describeStore(rosewire.Question{}), qt.DeepEquals, rosewire.Reply{})
	n.replaceTargets([]rosemary.TargetRegistration{{Target: rosemary.Target{ID: "t-1"}, Group: "g", Slots: 3}}, now, false)
	n.apply(&rosemary.Configuration{Version: 9}, sourceRead)
	c.Check(n.describeStore(rosewire.Question{}), qt.DeepEquals, rosewire.Reply{})
	n.confirmConfiguration(now)
	reply := n.describeStore(rosewire.Question{})
	c.Check(reply.Targets, qt.HasLen, 1)
	c.Check(*reply.Version, qt.Equals, uint64(9))
	digest, _ := n.targetsDigest()
	same := n.describeStore(rosewire.Question{Digest: &digest})
	c.Check(same.Yes, qt.IsTrue)
	c.Check(same.Targets, qt.HasLen, 0)
}

// emptyStore is a store of epoch 0 that isn't called.
type emptyStore struct{ rosemary.MetadataStore }

// Epoch returns 0.
func (emptyStore) Epoch() uint64 { return 0 }

// TestIncompleteRegistrationsOfPeers guards against a registration with fields missing that a
// proxy of an earlier build has read and passes on.
func TestIncompleteRegistrationsOfPeers(t *testing.T) {
	whole := rosewire.Registration{Target: "t-1", Address: "a:1", Zone: "z", Group: "g", Slots: 3}
	sent := []rosewire.Registration{whole}
	for _, change := range []func(r *rosewire.Registration){
		func(r *rosewire.Registration) { r.Target = "" }, func(r *rosewire.Registration) { r.Address = "" },
		func(r *rosewire.Registration) { r.Zone = "" }, func(r *rosewire.Registration) { r.Group = "" },
		func(r *rosewire.Registration) { r.Slots = 0 },
	} {
		incomplete := whole
		change(&incomplete)
		sent = append(sent, incomplete)
	}
	qt.Check(t, decodeRegistrations(sent, time.Now()), qt.HasLen, 1)
}

// TestOddNumbersOfPeers guards against a number of a peer's message that is too large, and makes
// a list look newer than every later one or a target's slots negative.
func TestOddNumbersOfPeers(t *testing.T) {
	whole := rosewire.Registration{Target: "t-1", Address: "a:1", Zone: "z", Group: "g", Slots: 3}
	for _, count := range []uint64{1 << 31, 1 << 43, 1<<53 + 1, 1 << 62, 1<<63 - 1, 1 << 63, math.MaxUint64} {
		odd := whole
		odd.Slots = count
		qt.Check(t, decodeRegistrations([]rosewire.Registration{odd, whole}, time.Now()), qt.HasLen, 1, qt.Commentf("%d", count))
		qt.Check(t, millis(count) >= 0, qt.IsTrue, qt.Commentf("%d", count))
	}
	for _, address := range []string{"a:65536", "a:0", "a:-1", "a:http", ":1", "a"} {
		odd := whole
		odd.Address = address
		qt.Check(t, decodeRegistrations([]rosewire.Registration{odd, whole}, time.Now()), qt.HasLen, 1, qt.Commentf("%s", address))
	}
}
