package rosedecision

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// homeCrossZonePenalty is added to the cost of a home in another availability zone,
	// whose answers have to come across: a round trip more, and the price of the traffic.
	homeCrossZonePenalty = 25 * time.Millisecond
	// lostHomeTime is how long a home that couldn't be reached or fell silent is tried last,
	// before one request tries it again.
	lostHomeTime = 3 * time.Second
	// homeTimeWeight is the weight of the last answer in the moving average of a home's
	// answer times.
	homeTimeWeight = 0.1
	// inFlightCost is added to the cost of a home for each request that it hasn't answered.
	inFlightCost = time.Millisecond
	// slowHomeFactor is how much more than another one a home of the same zone may cost
	// before that one is preferred, as answer times vary with the statements.
	slowHomeFactor = 2
	// answerTimeHalfLife is the age at which an answer time counts half, and the mean of the
	// homes the other half: a home that was slow is tried again.
	answerTimeHalfLife = 20 * time.Second
	// maxWaitAge is how long the wait that a home told counts, ever less.
	maxWaitAge = 300 * time.Millisecond
	// reservedHomeFactor and reservedHomePenalty keep requests off a home that has only a
	// reserve, while another one of its zone has room.
	reservedHomeFactor  = 2
	reservedHomePenalty = 10 * time.Millisecond
)

// Home is what a proxy knows of a home that it could relay a request to. It answers a fleet
// in which some proxies are slow, frozen, restarting or cut off: requests go to the least
// busy home of the zone, and past one that doesn't answer.
type Home struct {
	Member rosemary.Member
	// SameZone is set if the home is in the relaying proxy's availability zone.
	SameZone bool
	// Reserved is set if the home has only a reserve of connections yet.
	Reserved bool
	Record   HomeRecord
}

// HomeRecord is what relaying requests to a home has shown. The zero value knows nothing.
type HomeRecord struct {
	// InFlight is the number of requests that the home hasn't answered.
	InFlight int
	// answerTime is the moving average of its answer times; zero before the first.
	answerTime time.Duration
	// lostAt is when the home couldn't be reached or fell silent, zero once it answers.
	lostAt time.Time
	// wait is the wait for a connection that the home told with its last answer, at answeredAt.
	wait       time.Duration
	answeredAt time.Time
}

// WithAnswer returns the record after an answer that took some time, with which the home told
// how long a further request would wait there.
func (r HomeRecord) WithAnswer(took, wait time.Duration, now time.Time) HomeRecord {
	r.wait, r.answeredAt = wait, now
	if r.answerTime == 0 {
		r.answerTime = took
	}
	r.answerTime += time.Duration(homeTimeWeight * float64(took-r.answerTime))
	r.lostAt = time.Time{}
	return r
}

// WithLoss returns the record after the home couldn't be reached, or fell silent.
func (r HomeRecord) WithLoss(now time.Time) HomeRecord {
	r.lostAt = now
	return r
}

// WithInFlight returns the record with another number of unanswered requests.
func (r HomeRecord) WithInFlight(count int) HomeRecord {
	r.InFlight = count
	return r
}

// Lost reports whether the home is to be tried last: it couldn't be reached or fell silent a
// short time ago, or the request that tries it again isn't answered yet.
func (r HomeRecord) Lost(now time.Time) bool {
	return !r.lostAt.IsZero() && (now.Sub(r.lostAt) < lostHomeTime || r.InFlight > 0)
}

// expectedTime estimates the time of an answer, given that of an unknown home.
func (r HomeRecord) expectedTime(unknownTime time.Duration, now time.Time) time.Duration {
	if r.answerTime == 0 {
		return unknownTime
	}
	age := now.Sub(r.answeredAt)
	known := math.Exp2(-float64(age) / float64(answerTimeHalfLife))
	expected := time.Duration(known*float64(r.answerTime) + (1-known)*float64(unknownTime))
	if age < maxWaitAge {
		expected += time.Duration(float64(r.wait) * (1 - float64(age)/float64(maxWaitAge)))
	}
	return expected
}

// cost estimates the time until the answer of a request relayed now.
func (h Home) cost(unknownTime time.Duration, now time.Time) time.Duration {
	answerTime := h.Record.expectedTime(unknownTime, now)
	cost := answerTime + time.Duration(h.Record.InFlight)*inFlightCost
	if h.Reserved {
		cost = reservedHomeFactor*cost + reservedHomePenalty
	}
	if h.SameZone {
		return cost
	}
	return slowHomeFactor*cost + homeCrossZonePenalty
}

// OrderHomes returns the homes in the order in which to try them: the least expected wait
// first, homes of other zones only if that is much shorter, and lost ones last. It keeps
// the given order, which should be random, among equals.
func OrderHomes(homes []Home, now time.Time) []Home {
	unknownTime := meanAnswerTime(homes)
	ordered := slices.Clone(homes)
	slices.SortStableFunc(ordered, func(a, b Home) int {
		if lost := a.Record.Lost(now); lost != b.Record.Lost(now) {
			if lost {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.cost(unknownTime, now), b.cost(unknownTime, now))
	})
	return ordered
}

// meanAnswerTime returns the mean over the homes that have answered, which is assumed of
// the others.
func meanAnswerTime(homes []Home) time.Duration {
	sum, count := time.Duration(0), 0
	for _, h := range homes {
		if h.Record.answerTime > 0 {
			sum += h.Record.answerTime
			count++
		}
	}
	return sum / time.Duration(max(count, 1))
}
