package rosecap

import (
	"math"
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// skipTime is for how long hosts that had too few tokens are passed over.
	skipTime = 100 * time.Millisecond
	// shortTime is for how long no host is asked after all of them had too few tokens.
	shortTime = 100 * time.Millisecond
	// maxWanted bounds the tokens that are asked for at once.
	maxWanted = 64
	// drawTime is the time constant of the use of tokens, stockTime for how long they are asked
	// for ahead.
	drawTime  = time.Second
	stockTime = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused caller is to come back, retrySpacing
	// is the time between two of them.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	retrySpacing  = 20 * time.Millisecond
)

// Allowance is the tokens of one team on one proxy. It answers callers that come unevenly, and
// hosts that are lost or have used up their share: tokens are asked for one by one where they
// are rarely needed, ahead where they often are, and of one host after the other. It is not
// safe for concurrent use.
type Allowance struct {
	// hosts are those to ask, in their order, and next is the index of the next one.
	hosts []rosemary.ProxyID
	next  int
	// skippedAt is when the last host was passed over.
	skippedAt time.Time
	// tokens are those that were granted and not used, in the order of their grants.
	tokens []grant
	// drawn is the number of tokens used or wanted, with weights that decay, as of drawnAt.
	drawn   float64
	drawnAt time.Time
	// waiting is the number of operations that wait for tokens.
	waiting int
	// asking is set while a host is asked.
	asking bool
	// shortUntil is until when no host is asked.
	shortUntil time.Time
	// promisedAt is when the last refused caller was told to come back.
	promisedAt time.Time
}

// grant is a number of tokens that may be used until a time.
type grant struct {
	count int
	until time.Time
}

// setHosts sets the hosts to ask.
func (a *Allowance) setHosts(hosts []rosemary.ProxyID) {
	if !slices.Equal(a.hosts, hosts) {
		a.hosts, a.next = hosts, 0
	}
}

// take takes a token if there is one, and returns until when it may be used.
func (a *Allowance) take(now time.Time) (before time.Time, ok bool) {
	if a.tokensLeft(now) == 0 {
		return time.Time{}, false
	}
	a.tokens[0].count--
	return a.tokens[0].until, true
}

// giveBack puts a token back that wasn't used.
func (a *Allowance) giveBack(until time.Time) {
	a.tokens = slices.Insert(a.tokens, 0, grant{1, until})
}

// nextHost returns the host to ask next: the first one again after a while.
func (a *Allowance) nextHost(now time.Time) rosemary.ProxyID {
	if now.Sub(a.skippedAt) >= skipTime {
		a.next = 0
	}
	return a.hosts[a.next]
}

// tokensLeft drops tokens that are void, and returns the number of the others.
func (a *Allowance) tokensLeft(now time.Time) int {
	left := 0
	a.tokens = slices.DeleteFunc(a.tokens, func(g grant) bool { return g.count == 0 || !now.Before(g.until) })
	for _, g := range a.tokens {
		left += g.count
	}
	return left
}

// draw counts tokens used or wanted.
func (a *Allowance) draw(now time.Time, tokens float64) {
	a.drawn *= math.Exp(-now.Sub(a.drawnAt).Seconds() / drawTime.Seconds())
	a.drawn += tokens
	a.drawnAt = now
}

// stock returns the number of tokens to have in advance.
func (a *Allowance) stock() int { return int(a.drawn / drawTime.Seconds() * stockTime.Seconds()) }

// expects reports whether a host may grant tokens soon.
func (a *Allowance) expects(now time.Time) bool { return !now.Before(a.shortUntil) }

// retryAfter returns when a refused caller may come back.
func (a *Allowance) retryAfter(now time.Time) time.Duration {
	a.promisedAt = a.promisedAt.Add(retrySpacing)
	if first := now.Add(minRetryAfter); a.promisedAt.Before(first) || a.promisedAt.After(now.Add(maxRetryAfter)) {
		// Those beyond are spread over the whole time once more.
		a.promisedAt = first
	}
	return a.promisedAt.Sub(now)
}

// due reports whether a host is to be asked now.
func (a *Allowance) due(now time.Time) bool {
	return !a.asking && len(a.hosts) > 0 && a.expects(now) && (a.waiting > 0 || 2*a.tokensLeft(now) < a.stock())
}

// report returns what the next host is asked.
func (a *Allowance) report(now time.Time, team string) TeamReport {
	a.draw(now, 0)
	a.asking = true
	return TeamReport{Team: team, Want: min(a.waiting+max(a.stock()-a.tokensLeft(now), 0), maxWanted)}
}

// receive applies the answer to a report that was sent at a time.
func (a *Allowance) receive(now, sentAt time.Time, want, granted int) {
	if granted > 0 {
		a.tokens = append(a.tokens, grant{granted, sentAt.Add(grantTime)})
	}
	if granted < want && a.waiting > a.tokensLeft(now) {
		a.askNext(now)
		return
	}
	// What was asked for ahead isn't missed yet.
	a.asking = false
}

// askNext goes on to the next host, or pauses after the last one.
func (a *Allowance) askNext(now time.Time) {
	a.asking, a.skippedAt = false, now
	a.next++
	if a.next >= len(a.hosts) {
		a.next, a.shortUntil = 0, now.Add(shortTime)
	}
}
