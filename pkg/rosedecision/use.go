package rosedecision

import "time"

// Unused is why a target isn't used for a read; Used if it may be.
type Unused string

// The reasons, in the order in which they are looked for.
const (
	Used Unused = ""
	// UnusedUnknown means that its status isn't known, or not since it may have restarted.
	UnusedUnknown Unused = "status unknown"
	// UnusedLost means that it has stopped answering.
	UnusedLost Unused = "lost"
	// UnusedLeaving means that it is about to shut down.
	UnusedLeaving Unused = "leaving"
	// UnusedUncertain means that it is the primary, which may have been replaced.
	UnusedUncertain Unused = "primary not relied on"
	// UnusedDemoted means that it calls itself primary without being the group's newest.
	UnusedDemoted Unused = "not the newest primary"
	// UnusedNoPosition means that it isn't known which position it must have reached.
	UnusedNoPosition Unused = "no position known"
	// UnusedBehind means that it hasn't reached the position by far, or has just answered
	// that it hasn't reached one.
	UnusedBehind Unused = "behind"
	// UnusedNoConnection means that it has just refused a connection for want of room.
	UnusedNoConnection Unused = "no connection"
)

// Use is what is known of a target for the question of whether a read may run on it. It
// answers targets that are lost, leaving, cut off from their primary or far behind it, and
// tells operators the same reason that it decides by.
type Use struct {
	Seen, Lost bool
	// Leaving is set once the target gets no new work, which for a primary is some time
	// after its report.
	Leaving bool
	// Primary is set for the primary of the newest known term, Certain if it can't have
	// been replaced, and ClaimsPrimary if the target calls itself primary.
	Primary, Certain, ClaimsPrimary bool
	// PositionKnown is set if it is known which position the read needs.
	PositionKnown bool
	// FarBehind is set if the target is known to be far from the position that the read
	// needs.
	FarBehind bool
	// BehindUntil and FullUntil end the times in which reads avoid a replica because it
	// was behind, or had no connection left. CaughtUp ends both early.
	BehindUntil, FullUntil time.Time
	CaughtUp               bool
}

// Unused returns why the target can't run the read at now.
func (u Use) Unused(now time.Time) Unused {
	switch {
	case !u.Seen:
		return UnusedUnknown
	case u.Lost:
		return UnusedLost
	case u.Primary && !u.Certain:
		return UnusedUncertain
	case u.Leaving:
		return UnusedLeaving
	case u.Primary:
		return Used
	case u.ClaimsPrimary:
		return UnusedDemoted
	case !u.PositionKnown:
		return UnusedNoPosition
	case u.FarBehind, now.Before(u.BehindUntil) && !u.CaughtUp:
		return UnusedBehind
	case now.Before(u.FullUntil) && !u.CaughtUp:
		return UnusedNoConnection
	}
	return Used
}
