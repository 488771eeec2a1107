package rosedecision

import "time"

const (
	// viewLag is how much later than another one a proxy may learn of a change of the members.
	viewLag = 4 * time.Second
	// HandoverTime is how long a home has to have been given connections before it uses them.
	// After it all proxies have seen the change, and the connections of those that lost power
	// have ended at the targets.
	HandoverTime = 2 * viewLag
)

// Part is what one home may use of each target of a group.
type Part struct {
	// Open is the number of open connections, InUse that of connections in use at once.
	Open, InUse int
}

// atMost returns the smaller numbers of two parts.
func (p Part) atMost(other Part) Part {
	return Part{Open: min(p.Open, other.Open), InUse: min(p.InUse, other.InUse)}
}

// AtLeast returns the larger numbers of two parts.
func (p Part) AtLeast(other Part) Part {
	return Part{Open: max(p.Open, other.Open), InUse: max(p.InUse, other.InUse)}
}

// Handover is what the last lists of members gave a home of a group. It answers fleets in
// which homes are added, restarted, killed and replaced while proxies see the members some
// seconds apart: a home uses the least that it was given in the last HandoverTime, so that it
// gives connections up at once and takes them after the others have given them up. The zero
// value was never given anything.
type Handover struct {
	// free is set if no other home can hold what the first part gives.
	free bool
	// given are the parts in the order of their times, each until the next one.
	given []datedPart
}

// NewHandover returns the handover of a home that was never given anything. At the first start
// of a whole fleet no other home can hold connections, and the first part is used at once.
func NewHandover(firstStart bool) Handover { return Handover{free: firstStart} }

type datedPart struct {
	part Part
	from time.Time
}

// WithPart returns the handover after the home was given a part.
func (h Handover) WithPart(part Part, now time.Time) Handover {
	last := len(h.given) - 1
	if last >= 0 && h.given[last].part == part {
		return h
	}
	// The part in force at the start of the window and those after it count.
	first := 0
	for first < last && now.Sub(h.given[first+1].from) >= HandoverTime {
		first++
	}
	next := Handover{free: h.free, given: make([]datedPart, 0, len(h.given)-first+1)}
	if last >= 0 {
		next.given = append(next.given, h.given[first:]...)
	}
	next.given = append(next.given, datedPart{part: part, from: now})
	return next
}

// Usable returns what the home may use now.
func (h Handover) Usable(now time.Time) Part {
	if len(h.given) == 0 || !h.free && now.Sub(h.given[0].from) < HandoverTime {
		// Nothing was given at the start of the window.
		return Part{}
	}
	usable := h.given[len(h.given)-1].part
	for i, g := range h.given {
		until := now
		if i+1 < len(h.given) {
			until = h.given[i+1].from
		}
		if now.Sub(until) < HandoverTime {
			usable = usable.atMost(g.part)
		}
	}
	return usable
}

// Pending reports whether Usable will grow without a further change.
func (h Handover) Pending(now time.Time) bool {
	return len(h.given) > 0 && h.Usable(now) != h.given[len(h.given)-1].part
}
