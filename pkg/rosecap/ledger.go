package rosecap

import (
	"math"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// TeamReport is what a holder tells the lender of one team.
type TeamReport struct {
	Team string
	// Share is the share that the holder has, For how long it is still valid.
	Share Share
	For   time.Duration
	// Want is the number of tokens that the holder has room for.
	Want float64
	// Demand is the number of operations asked for in a second, admitted or not.
	Demand float64
}

// TeamGrant answers a TeamReport.
type TeamGrant struct {
	// Share is the share that the holder has from now on, for Lifetime from its report.
	Share Share
	// Tokens are granted at once, in addition to what the share brings.
	Tokens float64
}

const (
	// needFactor is the share that a holder gets while there is enough, in relation to its
	// demand.
	needFactor = 1.1
	// unchangedPart is the relative change of a share below which it is left as it is.
	unchangedPart = 0.1
)

// ledger is the lender's record of one team. The shares that may be held and the rate at
// which it grants tokens are never more than the cap's rate together.
type ledger struct {
	split split
	// unknownUntil is until when holders may have shares, lent by an earlier lender, that
	// this one doesn't know.
	unknownUntil time.Time
	tokens       float64
	// at is when tokens was last worked out.
	at      time.Time
	holders map[rosemary.ProxyID]*holding
	// direct are tokens granted to holders without room for them, which may not be used yet.
	direct []directGrant
}

// directGrant is a number of tokens that are used or void from then on.
type directGrant struct {
	tokens float64
	until  time.Time
}

// reporter is the sender of a report.
type reporter struct {
	proxy                 rosemary.ProxyID
	incarnation, sequence uint64
	// home is set if it may hold shares and keep tokens.
	home bool
}

// holding is what the lender knows of one holder.
type holding struct {
	incarnation, sequence uint64
	// share is the greatest share that the holder may have, until then.
	share  Share
	until  time.Time
	demand float64
	seenAt time.Time
}

// newLedger returns the ledger of a new lender, without tokens: an earlier lender may have
// granted what there was.
func newLedger(now time.Time, split split, unknownUntil time.Time) *ledger {
	return &ledger{split: split, unknownUntil: unknownUntil, at: now, holders: make(map[rosemary.ProxyID]*holding)}
}

// lentRate returns the rate at which shares may bring tokens. Shares that nobody has
// reported count until they must have ended.
func (l *ledger) lentRate(now time.Time) float64 {
	if now.Before(l.unknownUntil) {
		return maxLent.of(l.split.rate)
	}
	l.known(now)
	var sum float64
	for _, h := range l.holders {
		sum += l.split.lentRate(h.share)
	}
	return sum
}

// stock returns the number of tokens that the lender may keep: its own part, and what would
// go with the shares that aren't lent.
func (l *ledger) stock(now time.Time) float64 {
	stock := l.split.lenderBurst
	if !now.Before(l.unknownUntil) {
		stock += l.split.burstOf(maxLent - min(l.known(now), maxLent))
	}
	for _, g := range l.direct {
		if now.Before(g.until) {
			stock -= g.tokens
		}
	}
	return max(stock, 0)
}

// known returns the sum of the shares of known holders.
func (l *ledger) known(now time.Time) Share {
	var sum Share
	for id, h := range l.holders {
		if !now.Before(h.until) {
			h.share = 0
			if now.Sub(h.seenAt) >= Lifetime {
				delete(l.holders, id)
			}
		}
		sum += h.share
	}
	return sum
}

// advance adds the tokens since the last call.
func (l *ledger) advance(now time.Time) {
	if !now.After(l.at) {
		return
	}
	// Shares only end in between: using those at the start errs on the safe side.
	rate := l.split.rate - l.lentRate(l.at)
	l.tokens = min(l.tokens+rate*now.Sub(l.at).Seconds(), l.stock(l.at))
	l.at = now
}

// setSplit replaces the split, as the cap or the number of holders has changed.
func (l *ledger) setSplit(now time.Time, split split) {
	l.advance(now)
	l.split = split
	l.tokens = min(l.tokens, l.stock(now))
}

// setUnknownUntil ends the time in which shares may be unknown.
func (l *ledger) setUnknownUntil(until time.Time) {
	l.advance(until)
	l.unknownUntil = until
}

// answer records a holder's report and answers it. It returns false for a report that is
// older than one already answered.
func (l *ledger) answer(now time.Time, from reporter, report TeamReport) (TeamGrant, bool) {
	l.advance(now)
	h := l.holders[from.proxy]
	if h != nil && (from.incarnation < h.incarnation || from.incarnation == h.incarnation && from.sequence <= h.sequence) {
		return TeamGrant{}, false
	}
	if h == nil {
		h = &holding{}
		l.holders[from.proxy] = h
	}
	if !from.home {
		report.Demand = 0
	}
	// A new process of the holder has nothing of what the one before held.
	h.incarnation, h.sequence, h.demand, h.seenAt = from.incarnation, from.sequence, report.Demand, now
	h.share, h.until = min(report.Share, maxLent), now.Add(min(report.For, Lifetime))
	share := l.shareFor(now, h)
	want := report.Want
	if share > h.share {
		// The tokens that go with the share move with it.
		want += l.split.burstOf(share - h.share)
	}
	// The holder may not receive the answer: what it has counts until it reports again.
	if share > 0 {
		h.share, h.until = max(h.share, share), now.Add(Lifetime)
	}
	tokens := max(min(want, l.tokens), 0)
	direct := !from.home || l.split.floorBurst < 1-rounding
	if direct {
		// A part of a token would be void before the rest came.
		tokens = math.Floor(tokens + rounding)
	}
	l.tokens -= tokens
	if direct {
		l.direct = slices.DeleteFunc(l.direct, func(g directGrant) bool { return !now.Before(g.until) })
		l.direct = append(l.direct, directGrant{tokens, now.Add(directTime + maxAnswerAge)})
	}
	l.tokens = min(l.tokens, l.stock(now))
	return TeamGrant{Share: share, Tokens: tokens}, true
}

// shareFor returns the share that a holder is to have: by its demand, but no more than is
// free.
func (l *ledger) shareFor(now time.Time, h *holding) Share {
	known, demand := l.known(now), 0.0
	for _, other := range l.holders {
		demand += other.demand
	}
	if h.demand == 0 || l.split.rate == 0 {
		return 0
	}
	wanted := Share(min(h.demand/demand*float64(maxLent), needFactor*h.demand/l.split.rate*float64(whole)))
	difference := float64(wanted) - float64(h.share)
	if difference < 0 && -difference < unchangedPart*float64(h.share) {
		wanted = h.share
	}
	if wanted <= h.share {
		return wanted
	}
	if now.Before(l.unknownUntil) {
		return h.share
	}
	return min(wanted, maxLent-min(known-h.share, maxLent))
}
