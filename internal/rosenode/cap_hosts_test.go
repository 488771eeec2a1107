package rosenode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// TestFreePlace has a host vanish from the list of members, alone or together with others: its
// place is free once it must have stopped.
func TestFreePlace(t *testing.T) {
	start := time.Unix(1000, 0)
	all := []rosemary.Member{{Proxy: "host"}, {Proxy: "other"}, {Proxy: "self"}}
	for _, test := range []struct {
		name    string
		listed  []rosemary.Member
		after   time.Duration
		free    bool
		history bool
	}{
		{name: "listed", listed: all, after: time.Hour, history: true},
		{name: "missing for a moment", listed: all[1:], after: hostTakeTime - time.Second, history: true},
		{name: "missing alone", listed: all[1:], after: hostTakeTime, free: true, history: true},
		{name: "missing with another one", listed: all[2:], after: hostTakeTime, history: true},
		{name: "both missing for long", listed: all[2:], after: groupTakeTime, free: true, history: true},
		{name: "never listed", listed: all[1:], after: hostTakeTime - time.Second},
		{name: "never listed, for long", listed: all[1:], after: hostTakeTime, free: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h hosting
			hosts := []rosemary.ProxyID{"host"}
			if test.history {
				h.observe(start.Add(-time.Second), all, hosts)
			}
			h.observe(start, test.listed, hosts)
			h.observe(start.Add(test.after), test.listed, hosts)
			qt.Check(t, h.free(start.Add(test.after), "host"), qt.Equals, test.free)
		})
	}
}

// TestReturnedHostKeepsPlace has a missing host come back: it isn't free a moment later.
func TestReturnedHostKeepsPlace(t *testing.T) {
	var h hosting
	start, hosts := time.Unix(1000, 0), []rosemary.ProxyID{"host"}
	h.observe(start, nil, hosts)
	h.observe(start.Add(hostTakeTime), []rosemary.Member{{Proxy: "host"}}, hosts)
	h.observe(start.Add(hostTakeTime+time.Second), nil, hosts)
	qt.Check(t, h.free(start.Add(hostTakeTime+time.Second), "host"), qt.IsFalse)
}

// TestSmallZoneHasAllPlaces has fewer proxies in a zone than places.
func TestSmallZoneHasAllPlaces(t *testing.T) {
	hosts := chooseHosts([]rosemary.Member{{Proxy: "a"}, {Proxy: "b"}})
	qt.Assert(t, hosts, qt.HasLen, 3)
	qt.Check(t, hosts[0], qt.Equals, hosts[2])
	qt.Check(t, hosts[0], qt.Not(qt.Equals), hosts[1])
}

// TestHostStops has hosts lose touch with the store and with other proxies.
func TestHostStops(t *testing.T) {
	calm := hostEvidence{sinceTaken: time.Hour, silence: -time.Second, newsAge: time.Second}
	for _, test := range []struct {
		name   string
		change func(*hostEvidence)
		stops  bool
	}{
		{name: "in touch", change: func(*hostEvidence) {}},
		{name: "just taken", change: func(e *hostEvidence) { e.sinceTaken = hostBeginDelay - 1 }, stops: true},
		{name: "woken", change: func(e *hostEvidence) { e.unread = true }, stops: true},
		{name: "lease just over, isolated", change: func(e *hostEvidence) { e.silence, e.isolated = hostStopTime, true }},
		{name: "isolated", change: func(e *hostEvidence) { e.silence, e.isolated = hostStopTime+1, true }, stops: true},
		{name: "others reach the store", change: func(e *hostEvidence) { e.silence = hostStopTime + 1 }, stops: true},
		{name: "nobody reaches the store", change: func(e *hostEvidence) { e.silence, e.newsAge = time.Hour, time.Hour }},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := calm
			test.change(&e)
			qt.Check(t, e.stopReason() != "", qt.Equals, test.stops)
		})
	}
	// A host has stopped before its place is free.
	qt.Check(t, hostStopTime < hostTakeTime, qt.IsTrue)
}
