package rosedecision

import (
	"math"
	"time"
)

const (
	// teamUseHalfLife is the time in which a request loses half of its weight in the rate of
	// its team.
	teamUseHalfLife = 20 * time.Second
	// keepWarmTime is how soon a connection must be expected to be needed to be kept although
	// nothing uses it.
	keepWarmTime = 10 * time.Second
	// closeTimeShare is the share of the time to open a connection that freeing a place for
	// it takes.
	closeTimeShare = 0.5
)

// Rate is a moving average of events a second, such as the requests of a team.
type Rate struct {
	perSecond float64
	at        time.Time
}

// WithEvent returns the rate after an event at now.
func (r Rate) WithEvent(now time.Time) Rate {
	return Rate{perSecond: r.PerSecond(now) + math.Ln2/teamUseHalfLife.Seconds(), at: now}
}

// PerSecond returns the rate at now.
func (r Rate) PerSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp2(-float64(now.Sub(r.at))/float64(teamUseHalfLife))
}

// Need returns how many requests a second of a team with that rate of requests need its last
// connection, of those it has open: they arrive while all others are in use.
func (r Rate) Need(open int, holdTime time.Duration, now time.Time) float64 {
	rate := r.PerSecond(now)
	load := rate * holdTime.Seconds()
	// The number in use is taken to be distributed as of independent arrivals.
	probability, beyond := math.Exp(-load), 1.0
	for inUse := range max(open-1, 0) {
		beyond -= probability
		probability *= load / float64(inUse+1)
	}
	return rate * max(beyond, 0)
}

// IdleConnection is what is known of an idle connection that could be closed to open one for
// another team. It answers many teams of unequal size that share fewer connections than there
// are teams: frequent teams keep theirs, and rare ones take turns.
type IdleConnection struct {
	// Need is how many requests a second need the connection.
	Need float64
	// Reserved is set if the team waits, or if the connection is the last one for control
	// calls.
	Reserved bool
	// IdleSince is when it was last used.
	IdleSince time.Time
}

// ClosesBefore reports whether the connection is given up before another one.
func (c IdleConnection) ClosesBefore(other IdleConnection) bool {
	switch {
	case c.Reserved != other.Reserved:
		return other.Reserved
	case c.Need != other.Need:
		return c.Need < other.Need
	}
	return c.IdleSince.Before(other.IdleSince)
}

// NeededSoon reports whether the connection is to be kept although it has been idle.
func (c IdleConnection) NeededSoon() bool {
	return c.Reserved || c.Need*keepWarmTime.Seconds() >= 1
}

// MakesRoomAhead reports whether the connection is closed before another team needs its place,
// given the openings a second that need one.
func (c IdleConnection) MakesRoomAhead(openings float64) bool {
	return !c.Reserved && c.Need < closeTimeShare*openings
}
