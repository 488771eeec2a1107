package rosecap

import (
	"math"
	"time"
)

const (
	// rounding is the greatest error of a sum of parts of a token.
	rounding = 1e-6
	// demandTime is the time constant of the demand that a holder reports.
	demandTime = 5 * time.Second
	// quickReportInterval is the time between reports of a holder that the lender gives what
	// it asks for, slowReportInterval that of one whose team has used up its cap or whose
	// reports aren't answered.
	quickReportInterval = 30 * time.Millisecond
	slowReportInterval  = 500 * time.Millisecond
	// partReportInterval is the time to the next report of a holder that has been granted a
	// part of a token.
	partReportInterval = 100 * time.Millisecond
	// maxDirect bounds the tokens that a holder without room for one asks for, directTime how
	// long it keeps them for the operations that wait.
	maxDirect  = 8
	directTime = 150 * time.Millisecond
	// minReturnedRate is the number of operations a second in a share, beyond twice the
	// demand, for which a holder reports that it needs less, returnInterval how often.
	minReturnedRate = 1
	returnInterval  = time.Second
	// minRetryAfter and maxRetryAfter bound when a refused caller is to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Allowance is what one holder may admit of one team: a token bucket, filled by the share
// that the lender has lent, by single tokens that it grants, and slowly by the holder's part
// of the tolerance. It is not safe for concurrent use.
type Allowance struct {
	split  split
	tokens float64
	// wanted is the number of tokens that the lender has been asked for and may be granting.
	wanted float64
	// at is when tokens and demand were last worked out.
	at    time.Time
	share Share
	until time.Time
	// asked is the number of operations asked for, with weights that decay.
	asked float64
	// used is set if operations were asked for since the last report.
	used bool
	// waiting is the number of operations since the last report that wait for tokens.
	waiting int
	// prefetch is set if the first report is sent without an operation.
	prefetch bool
	reported bool
	// ended is set when a share has ended.
	ended bool
	// directUntil is until when there may be more tokens than the share has room for, which
	// were granted to operations that wait for them.
	directUntil time.Time
	// reportAfter is when the next report may be sent.
	reportAfter time.Time
	reportedAt  time.Time
	// short is set if the lender granted less than was asked for at the last report, or
	// didn't answer it.
	short bool
	// promisedAt is when the last refused caller was told to come back.
	promisedAt time.Time
}

// newAllowance returns an allowance without tokens: those of an earlier process of this
// proxy may have been used moments ago.
func newAllowance(now time.Time, split split) Allowance { return Allowance{split: split, at: now} }

// setSplit replaces the split, as the cap or the number of holders has changed.
func (a *Allowance) setSplit(now time.Time, split split) {
	a.advance(now)
	a.split = split
	a.tokens = min(a.tokens, split.capacity(a.share))
}

// advance adds the tokens since the last call, and ends the share when its time has come.
func (a *Allowance) advance(now time.Time) {
	if !now.After(a.at) {
		return
	}
	a.asked *= math.Exp(-now.Sub(a.at).Seconds() / demandTime.Seconds())
	if a.share > 0 && !now.Before(a.until) {
		if a.until.After(a.at) {
			a.fill(a.until)
		}
		a.share, a.ended = 0, true
	}
	a.fill(now)
}

func (a *Allowance) fill(now time.Time) {
	gained := (a.split.lentRate(a.share) + a.split.floorRate) * now.Sub(a.at).Seconds()
	// Tokens on their way take room, too.
	room := max(a.split.capacity(a.share)-a.wanted, 0)
	most := a.split.capacity(a.share)
	if now.Before(a.directUntil) {
		most = max(most, a.tokens)
	}
	a.tokens = max(min(a.tokens+gained, room), min(a.tokens, most))
	a.at = now
}

// admit takes a token for an operation. Without ok there is none, and the caller may come
// back after retryAfter.
func (a *Allowance) admit(now time.Time) (retryAfter time.Duration, ok bool) {
	a.advance(now)
	a.asked++
	a.used = true
	if a.tokens >= 1-rounding {
		a.tokens = max(a.tokens-1, 0)
		return 0, true
	}
	if a.expects(now) {
		a.waiting++
	}
	return a.retryAfter(now), false
}

// expects reports whether the lender may grant tokens as soon as it is asked.
func (a *Allowance) expects(now time.Time) bool {
	return !a.short || now.Sub(a.reportedAt) > 2*slowReportInterval
}

// retryAfter returns when a refused caller may come back. Callers are spread at the rate of
// the tokens that this holder can expect.
func (a *Allowance) retryAfter(now time.Time) time.Duration {
	if a.expects(now) {
		return minRetryAfter
	}
	latest := now.Add(maxRetryAfter)
	rate := a.share.of(a.split.rate)*float64(whole)/float64(maxLent) + a.split.floorRate
	interval := maxRetryAfter
	if rate > 0 {
		interval = min(time.Duration(float64(time.Second)/rate), maxRetryAfter)
	}
	if a.promisedAt.Before(now) {
		a.promisedAt = now
	}
	a.promisedAt = a.promisedAt.Add(interval)
	if a.promisedAt.After(latest) {
		// Those beyond are spread over the whole time once more.
		a.promisedAt = now.Add(interval)
	}
	return max(a.promisedAt.Sub(now), minRetryAfter)
}

// due reports whether the lender is to be told of this allowance now: it has few tokens
// left, or its share is in use and ends before long.
func (a *Allowance) due(now time.Time) bool {
	switch {
	case now.Before(a.reportAfter):
		return false
	case !a.reported:
		return a.prefetch || a.used
	case !a.used && a.share == 0:
		return false
	}
	a.advance(now)
	if excess := a.split.lentRate(a.share) - 2*a.asked/demandTime.Seconds(); excess > minReturnedRate {
		return now.Sub(a.reportedAt) >= returnInterval
	}
	if !a.used {
		return false
	}
	if a.share > 0 && a.until.Sub(now) < Lifetime/2 {
		return true
	}
	return a.tokens < max(1-rounding, a.split.capacity(a.share)/3)
}

// report returns what the lender is told.
func (a *Allowance) report(now time.Time, team string) TeamReport {
	a.advance(now)
	a.used = false
	a.reportAfter, a.reportedAt = now.Add(slowReportInterval), now
	r := TeamReport{Team: team, Share: a.share, Demand: a.asked / demandTime.Seconds()}
	if a.share > 0 {
		r.For = a.until.Sub(now)
	}
	r.Want = max(a.split.capacity(a.share)-a.tokens, 0)
	if a.split.capacity(a.share) < 1-rounding {
		r.Want = float64(min(a.waiting, maxDirect))
	}
	a.wanted, a.waiting = r.Want, 0
	return r
}

// unanswered records that the lender didn't answer a report.
func (a *Allowance) unanswered() {
	a.short, a.wanted = true, 0
	a.used = true
}

// receive applies the answer to a report sent at sentAt.
func (a *Allowance) receive(now, sentAt time.Time, want float64, grant TeamGrant) {
	a.advance(now)
	a.wanted = 0
	a.share, a.until = grant.Share, sentAt.Add(Lifetime)
	if a.share > 0 && !now.Before(a.until) {
		a.share = 0
	}
	most := a.split.capacity(a.share)
	if most < 1-rounding {
		most = max(most, want)
		a.directUntil = now.Add(directTime)
	}
	a.tokens = min(a.tokens+grant.Tokens, most)
	a.reported = true
	a.short = 2*grant.Tokens < want
	switch {
	case !a.short:
		a.reportAfter = now.Add(quickReportInterval)
	case a.tokens < 1-rounding:
		// The lender is asked again without a further operation.
		a.used = true
		if grant.Tokens > 0 {
			a.reportAfter = now.Add(partReportInterval)
		}
	}
}
