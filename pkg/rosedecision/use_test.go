package rosedecision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
)

func TestUnused(t *testing.T) {
	now := time.Unix(100, 0)
	soon := now.Add(time.Second)
	replica := rosedecision.Use{Seen: true, PositionKnown: true}
	primary := rosedecision.Use{Seen: true, Primary: true, ClaimsPrimary: true, Certain: true}
	tests := []struct {
		of     rosedecision.Use
		change func(*rosedecision.Use)
		want   rosedecision.Unused
	}{
		{replica, func(*rosedecision.Use) {}, rosedecision.Used},
		{replica, func(u *rosedecision.Use) { u.Seen = false }, rosedecision.UnusedUnknown},
		{replica, func(u *rosedecision.Use) { u.Lost = true }, rosedecision.UnusedLost},
		{replica, func(u *rosedecision.Use) { u.Leaving = true }, rosedecision.UnusedLeaving},
		{replica, func(u *rosedecision.Use) { u.ClaimsPrimary = true }, rosedecision.UnusedDemoted},
		{replica, func(u *rosedecision.Use) { u.PositionKnown = false }, rosedecision.UnusedNoPosition},
		{replica, func(u *rosedecision.Use) { u.FarBehind = true }, rosedecision.UnusedBehind},
		{replica, func(u *rosedecision.Use) { u.BehindUntil = soon }, rosedecision.UnusedBehind},
		{replica, func(u *rosedecision.Use) { u.FullUntil = soon }, rosedecision.UnusedNoConnection},
		{replica, func(u *rosedecision.Use) { u.FullUntil, u.BehindUntil, u.CaughtUp = soon, soon, true }, rosedecision.Used},
		{primary, func(*rosedecision.Use) {}, rosedecision.Used},
		{primary, func(u *rosedecision.Use) { u.FarBehind = true }, rosedecision.Used},
		{primary, func(u *rosedecision.Use) { u.Certain = false }, rosedecision.UnusedUncertain},
		{primary, func(u *rosedecision.Use) { u.Leaving = true }, rosedecision.UnusedLeaving},
	}
	for _, test := range tests {
		use := test.of
		test.change(&use)
		qt.Check(t, use.Unused(now), qt.Equals, test.want, qt.Commentf("%+v", use))
	}
}
