package roseadmit

import "time"

const (
	// latencyWeight is the weight of a new latency in the mean.
	latencyWeight = 0.1
	// latencyTolerance is the rise over the least latency that is taken for
	// queueing at the target.
	latencyTolerance = 2.0
	// latencySlack keeps scheduling noise from shrinking the limit.
	latencySlack = 3 * time.Millisecond
	// leastLatencyWindow is how long a least latency is believed.
	leastLatencyWindow = 10 * time.Second
	// decrease is the factor that shrinks the limit.
	decrease = 0.8
	// firstLatency is assumed before anything was observed.
	firstLatency = 2 * time.Millisecond
)

// limiter adapts the number of requests in flight: it grows by one for each
// round of requests that kept a low latency, and shrinks when latency shows
// that the target queues.
type limiter struct {
	limit     float64
	most      int
	mean      time.Duration
	least     time.Duration
	leastAt   time.Time
	adjustIn  int
	saturated bool
}

func newLimiter(most int) limiter {
	return limiter{limit: float64(max(most, 1)), most: max(most, 1)}
}

func (l *limiter) current() int {
	return max(int(l.limit), 1)
}

func (l *limiter) latency() time.Duration {
	if l.mean == 0 {
		return firstLatency
	}
	return l.mean
}

func (l *limiter) setMax(most int) {
	most = max(most, 1)
	if l.current() == l.most {
		l.limit = float64(most)
	}
	l.most = most
	l.limit = min(l.limit, float64(most))
}

func (l *limiter) observe(latency time.Duration, inFlight int) {
	if l.mean == 0 {
		l.mean = latency
	}
	l.mean += time.Duration(latencyWeight * float64(latency-l.mean))
	if l.least == 0 || latency < l.least || time.Since(l.leastAt) > leastLatencyWindow {
		l.least = latency
		l.leastAt = time.Now()
	}
	l.saturated = l.saturated || inFlight >= l.current()
	if l.adjustIn > 0 {
		l.adjustIn--
		return
	}
	switch {
	case float64(l.mean) > latencyTolerance*float64(l.least)+float64(latencySlack):
		l.limit = max(1, l.limit*decrease)
	case l.saturated:
		l.limit = min(l.limit+1, float64(l.most))
	}
	l.saturated = false
	l.adjustIn = 2 * l.current()
}
