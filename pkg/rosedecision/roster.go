package rosedecision

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// absenceTime is how long a member that has vanished counts on.
	absenceTime = 5 * time.Second
	// arrivalSpread is the longest time after which a member that has arrived counts.
	arrivalSpread = 8 * time.Second
	// rosterStartTime is how long after its start a proxy takes the members that it sees as
	// settled.
	rosterStartTime = absenceTime
)

// Roster is which members count when homes are chosen. It answers fleets in which many
// proxies are added, restarted in turn or killed at once, and lists of members that fall and
// are whole again within seconds: who comes back soon keeps its places, and who arrives takes
// them at a time of its own, so that homes move a few at a time.
type Roster struct {
	startedAt time.Time
	entries   map[rosemary.ProxyID]rosterEntry
}

// rosterEntry is one member.
type rosterEntry struct {
	member rosemary.Member
	// settledAt is from when it counts.
	settledAt time.Time
	// missingSince is when it was first missing in the list, zero while it is listed.
	missingSince time.Time
}

// NewRoster returns the roster of a proxy that starts now. The proxy itself counts at once if
// the whole fleet starts for the first time, else like one that arrives.
func NewRoster(self rosemary.Member, firstStart bool, now time.Time) Roster {
	r := Roster{startedAt: now}
	if firstStart {
		return r
	}
	return r.WithArrival(self, now)
}

// WithMembers returns the roster after the list of members was read.
func (r Roster) WithMembers(members []rosemary.Member, now time.Time) Roster {
	next := Roster{startedAt: r.startedAt, entries: make(map[rosemary.ProxyID]rosterEntry, len(members))}
	for _, m := range members {
		e, known := r.entries[m.Proxy]
		switch {
		case !known && now.Sub(r.startedAt) < rosterStartTime:
			e.settledAt = now
		case !known || e.expired(now):
			e.settledAt = now.Add(arrivalDelay(m.Proxy))
		}
		e.member, e.missingSince = m, time.Time{}
		next.entries[m.Proxy] = e
	}
	for id, e := range r.entries {
		if _, listed := next.entries[id]; listed || e.expired(now) {
			continue
		}
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		next.entries[id] = e
	}
	return next
}

// WithArrival returns the roster with a member that arrives now.
func (r Roster) WithArrival(m rosemary.Member, now time.Time) Roster {
	return r.with(rosterEntry{member: m, settledAt: now.Add(arrivalDelay(m.Proxy))})
}

// WithSettled returns the roster after others have told that they have long counted a member.
func (r Roster) WithSettled(id rosemary.ProxyID, now time.Time) Roster {
	e, known := r.entries[id]
	if !known || !now.Before(e.settledAt) {
		return r
	}
	e.settledAt = now
	return r.with(e)
}

func (r Roster) with(changed rosterEntry) Roster {
	next := Roster{startedAt: r.startedAt, entries: map[rosemary.ProxyID]rosterEntry{changed.member.Proxy: changed}}
	for id, e := range r.entries {
		if id != changed.member.Proxy {
			next.entries[id] = e
		}
	}
	return next
}

// Settled returns the members that count, sorted by their IDs.
func (r Roster) Settled(now time.Time) []rosemary.Member {
	var members []rosemary.Member
	for _, e := range r.entries {
		if !now.Before(e.settledAt) && !e.expired(now) {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, func(a, b rosemary.Member) int {
		if a.Proxy < b.Proxy {
			return -1
		}
		return 1
	})
	return members
}

// LongSettled reports whether this proxy has itself seen that a member has counted for some
// time, so that all others count it, too.
func (r Roster) LongSettled(id rosemary.ProxyID, now time.Time) bool {
	e, known := r.entries[id]
	return known && !e.expired(now) && now.Sub(r.startedAt) > arrivalSpread+rosterStartTime && now.Sub(e.settledAt) > viewLag
}

// expired reports whether a member has been missing for too long.
func (e rosterEntry) expired(now time.Time) bool {
	return !e.missingSince.IsZero() && now.Sub(e.missingSince) >= absenceTime
}

// arrivalDelay is how long after its arrival a member counts, the same for everyone.
func arrivalDelay(id rosemary.ProxyID) time.Duration {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	const steps = 1 << 10
	// The high bits of FNV-1a differ little for short names.
	x := hash.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return time.Duration((x>>33)%steps) * arrivalSpread / steps
}
