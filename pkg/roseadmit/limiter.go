package roseadmit

import "time"

const (
	// latencyWeight is the weight of a new latency in the mean.
	latencyWeight = 0.1
	// latencyTolerance is the rise over the least latency of a class that
	// is taken for queueing at the target.
	latencyTolerance = 1.3
	// latencySlack keeps scheduling noise from shrinking the limit.
	latencySlack = 2 * time.Millisecond
	// leastLatencyWindow is how long a least latency is believed.
	leastLatencyWindow = 10 * time.Second
	// decrease is the factor that shrinks the limit.
	decrease = 0.8
	// firstLatency is assumed before anything was observed.
	firstLatency = 2 * time.Millisecond
)

// leastLatency is the least latency of a class within a window.
type leastLatency struct {
	latency time.Duration
	at      time.Time
}

// limiter adapts the number of requests in flight: it grows by one for each
// round of requests that kept a low latency, and shrinks when latency shows
// that the target queues. Classes differ in what they cost, so each is
// compared with its own least latency.
type limiter struct {
	limit     float64
	most      int
	mean      time.Duration
	rise      float64
	least     map[string]leastLatency
	adjustIn  int
	saturated bool
}

func newLimiter(most int) limiter {
	most = max(most, 1)
	return limiter{limit: float64(most), most: most, rise: 1, least: make(map[string]leastLatency)}
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

// observe learns from one served request.
func (l *limiter) observe(class string, latency time.Duration, inFlight int) {
	if l.mean == 0 {
		l.mean = latency
	}
	l.mean += time.Duration(latencyWeight * float64(latency-l.mean))
	least := l.least[class]
	if least.latency == 0 || latency < least.latency || time.Since(least.at) > leastLatencyWindow {
		least = leastLatency{latency: latency, at: time.Now()}
		l.least[class] = least
	}
	rise := float64(latency) / float64(least.latency+latencySlack)
	l.rise += latencyWeight * (rise - l.rise)
	l.saturated = l.saturated || inFlight >= l.current()
	if l.adjustIn > 0 {
		l.adjustIn--
		return
	}
	l.adjust()
}

func (l *limiter) adjust() {
	switch {
	case l.rise > latencyTolerance:
		l.limit = max(1, l.limit*decrease)
	case l.saturated:
		l.limit = min(l.limit+1, float64(l.most))
	}
	l.saturated = false
	l.adjustIn = 2 * l.current()
}
