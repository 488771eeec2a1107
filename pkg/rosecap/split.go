// Package rosecap keeps the operations of teams within their usage caps over all proxies.
// A lender per team lends shares of the rate and single tokens; a proxy that runs
// operations, a holder, admits them from what it holds, without asking first. Nothing here
// uses the network; times are passed in.
package rosecap

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseteam"
)

// Share is a part of a team's rate, in millionths.
type Share uint32

const (
	// whole is the share that is the whole rate.
	whole Share = 1_000_000
	// maxLent bounds the shares lent of one team together. What remains of the rate belongs
	// to whoever holds the lender's lock, so that a new lender can grant tokens at once.
	maxLent Share = 700_000
	// minLentRate is the rate, in operations a second, from which a share brings tokens by
	// itself. With less demand a holder's tokens are mostly complete, and what the share
	// brought would be lost.
	minLentRate = 1
	// Lifetime is how long a share is valid after the report that it answers. It outlasts a
	// short outage of the store and the claim of a lost lender's lock.
	Lifetime = 15 * time.Second
)

// DefaultWindow is the window in which operations are counted unless it is set otherwise.
const DefaultWindow = 5 * time.Second

// of returns that part of an amount.
func (s Share) of(amount float64) float64 { return amount * float64(s) / float64(whole) }

// Policy is how far the operations of a team in any window may exceed
// rate x window + burst: by the part Excess of it, and by Slack operations.
type Policy struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// tokensPerHolder is the number of tokens for each holder from which on the excess is used as
// a rate. With fewer it is needed for holders to keep tokens at all.
const tokensPerHolder = 2

// allowance returns the rate at which a team may go on, and the number of tokens that may be
// held at once. A window then holds at most the cap with the excess and the slack. As a rate
// the excess serves callers whom the operators' meter allows, which counts other operations
// than the first ones.
func (p Policy) allowance(usage roseteam.Cap, holders float64) (rate, tokens float64) {
	tokens = (1+p.Excess)*usage.Burst + p.Slack
	if tokens >= tokensPerHolder*holders {
		return (1 + p.Excess) * usage.Rate, tokens
	}
	return usage.Rate, tokens + p.Excess*usage.Rate*p.Window.Seconds()
}

// split divides what a team may use in one window among the holders and the lender. The
// burst and the tolerance together are the sum of all tokens that may be held at once, and
// of what holders may use without a lender in a window.
type split struct {
	// rate is the rate of the cap with the excess.
	rate float64
	// floorBurst is the number of tokens that each holder may keep without a share, and
	// floorRate the rate at which it gets them without a lender.
	floorBurst, floorRate float64
	// lentBurst is the number of tokens that go with shares, in proportion, and lenderBurst
	// the number that the lender keeps.
	lentBurst, lenderBurst float64
}

// newSplit divides a cap among a number of holders. Each holder keeps a whole token of its
// own, if there are enough, as an operation at a holder without one is refused.
func newSplit(usage roseteam.Cap, policy Policy, holders int) split {
	count := float64(max(holders, 1))
	rate, tokens := policy.allowance(usage, count)
	tolerance := tokens - usage.Burst
	var floors, unasked float64
	if count <= tokens {
		unasked = min(tolerance/4, (tokens-count)/4)
		floors = max(count, min(tolerance/2, tokens-unasked))
	}
	rest := tokens - unasked - floors
	// A part of the rest that is less than a token serves no holder.
	lent := min(rest/2, rest*rest/2/count)
	s := split{rate: rate, floorBurst: floors / count, lentBurst: lent, lenderBurst: rest - lent}
	if policy.Window > 0 {
		s.floorRate = unasked / count / policy.Window.Seconds()
	}
	return s
}

// withoutFloor returns the split of a proxy that isn't among the holders counted.
func (s split) withoutFloor() split {
	s.floorBurst, s.floorRate = 0, 0
	return s
}

// lentRate returns the rate at which a share brings tokens. One without room for a token
// brings none.
func (s split) lentRate(share Share) float64 {
	if rate := share.of(s.rate); rate >= minLentRate && s.capacity(share) >= 1 {
		return rate
	}
	return 0
}

// capacity returns the number of tokens that a holder of a share may keep.
func (s split) capacity(share Share) float64 { return s.floorBurst + s.burstOf(share) }

// burstOf returns the number of tokens that go with a share.
func (s split) burstOf(share Share) float64 { return s.lentBurst * float64(share) / float64(maxLent) }
