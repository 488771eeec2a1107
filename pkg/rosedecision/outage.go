package rosedecision

import "time"

const (
	// initialOutageTime is assumed of the first outage of a group.
	initialOutageTime = 2 * time.Second
	// outageTimeWeight is the weight of the last outage in the moving average.
	outageTimeWeight = 0.3
	// minOutageRemaining is expected of an outage that has lasted longer than the others.
	minOutageRemaining = 400 * time.Millisecond
	// returnSpread is the share of the estimate over which returning clients are spread.
	returnSpread = 0.5
)

// Outage estimates when a group without a primary serves again. It answers a primary that
// is gone for 0.6 to 8 s: its clients learn when to come back, and don't come all at once.
type Outage struct {
	// since is when the group lost its primary; zero while it has one.
	since time.Time
	// typical is the moving average of the durations of outages seen here.
	typical time.Duration
}

// WithPrimary returns the estimate after a check at now of whether the group has a primary.
func (o Outage) WithPrimary(valid bool, now time.Time) Outage {
	switch {
	case !valid && o.since.IsZero():
		o.since = now
	case valid && !o.since.IsZero():
		lasted := now.Sub(o.since)
		if o.typical == 0 {
			o.typical = lasted
		}
		o.typical += time.Duration(outageTimeWeight * float64(lasted-o.typical))
		o.since = time.Time{}
	}
	return o
}

// ServedAgainIn estimates how much longer the outage lasts; zero while there is none.
func (o Outage) ServedAgainIn(now time.Time) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	typical := o.typical
	if typical == 0 {
		typical = initialOutageTime
	}
	return max(typical-now.Sub(o.since), minOutageRemaining)
}

// ReturnAfter returns when a client that is refused at now should come back. spread, from
// 0 to 1, is drawn anew for each client.
func (o Outage) ReturnAfter(now time.Time, spread float64) time.Duration {
	remaining := max(o.ServedAgainIn(now), minOutageRemaining)
	return remaining + time.Duration(returnSpread*spread*float64(remaining))
}
