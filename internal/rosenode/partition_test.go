package rosenode

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestZoneStaysCutOff replays what a home saw in a zone that was cut off for 6 s: it begins to
// serve further groups, whose targets count as answering for half a second each time.
func TestZoneStaysCutOff(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	lost := func(targets, answering int) zoneEvidence {
		return zoneEvidence{targets: targets, answering: answering, otherZonesLost: true, agreeing: true}
	}
	var zone zoneCut
	zone = zone.withEvidence(lost(3, 3), at(0))
	c.Check(zone.cut, qt.IsFalse)
	for _, seen := range []struct {
		ms       int
		evidence zoneEvidence
	}{
		{100, lost(3, 1)},
		{650, lost(6, 4)},
		{1150, lost(6, 4)},
		{1200, lost(6, 2)},
		{3970, lost(9, 5)},
		{4520, lost(9, 3)},
		{5630, lost(9, 4)},
	} {
		zone = zone.withEvidence(seen.evidence, at(seen.ms))
		c.Check(zone.cut, qt.IsTrue, qt.Commentf("after %d ms", seen.ms))
	}
	// A proxy of another zone answers.
	c.Check(zone.withEvidence(zoneEvidence{targets: 9, answering: 4}, at(5900)).cut, qt.IsFalse)
	// None does, but the targets go on to answer.
	c.Check(zone.withEvidence(lost(9, 9), at(6500)).cut, qt.IsTrue)
	c.Check(zone.withEvidence(lost(9, 9), at(6630)).cut, qt.IsFalse)
}
