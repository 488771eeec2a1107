package roseadmit

import "time"

const (
	// smoothingFactor is the weight of a new sample in the moving averages.
	smoothingFactor = 0.1
	// queueingThreshold is the ratio of latency to the minimum latency of a class
	// above which requests are assumed to queue at the target.
	queueingThreshold = 1.3
	// latencyNoise is added to the minimum latency, so that scheduling noise
	// doesn't lower the limit.
	latencyNoise = 2 * time.Millisecond
	// minLatencyWindow is how long a minimum latency stays valid.
	minLatencyWindow = 10 * time.Second
	// decreaseFactor lowers the limit when requests queue at the target.
	decreaseFactor = 0.8
	// initialLatency is assumed until a request has been observed.
	initialLatency = 2 * time.Millisecond
)

// minLatency is the minimum latency of a class within minLatencyWindow.
type minLatency struct {
	latency time.Duration
	at      time.Time
}

// limiter adapts the limit of requests in flight by additive increase and
// multiplicative decrease. After twice as many requests as the limit, it lowers
// the limit if the latency shows that requests queue at the target, and
// otherwise raises it by one if it was reached. Classes differ in cost, so each
// is compared with its own minimum latency.
type limiter struct {
	limit              float64
	maxLimit           int
	meanLatency        time.Duration
	latencyRatio       float64
	minLatencies       map[string]minLatency
	samplesUntilAdjust int
	saturated          bool
}

func newLimiter(maxLimit int) limiter {
	maxLimit = max(maxLimit, 1)
	return limiter{limit: float64(maxLimit), maxLimit: maxLimit, latencyRatio: 1, minLatencies: make(map[string]minLatency)}
}

func (l *limiter) current() int {
	return max(int(l.limit), 1)
}

func (l *limiter) latency() time.Duration {
	if l.meanLatency == 0 {
		return initialLatency
	}
	return l.meanLatency
}

// setMaxLimit changes the bound of the limit. A limit that is not lowered at the
// moment follows the bound.
func (l *limiter) setMaxLimit(maxLimit int) {
	maxLimit = max(maxLimit, 1)
	if l.current() == l.maxLimit {
		l.limit = float64(maxLimit)
	}
	l.maxLimit = maxLimit
	l.limit = min(l.limit, float64(maxLimit))
}

// observe records the latency of a served request and adapts the limit.
func (l *limiter) observe(class string, latency time.Duration, inFlight int) {
	if l.meanLatency == 0 {
		l.meanLatency = latency
	}
	l.meanLatency += time.Duration(smoothingFactor * float64(latency-l.meanLatency))
	minimum := l.minLatencies[class]
	if minimum.latency == 0 || latency < minimum.latency || time.Since(minimum.at) > minLatencyWindow {
		minimum = minLatency{latency: latency, at: time.Now()}
		l.minLatencies[class] = minimum
	}
	ratio := float64(latency) / float64(minimum.latency+latencyNoise)
	l.latencyRatio += smoothingFactor * (ratio - l.latencyRatio)
	l.saturated = l.saturated || inFlight >= l.current()
	if l.samplesUntilAdjust > 0 {
		l.samplesUntilAdjust--
		return
	}
	l.adjust()
}

func (l *limiter) adjust() {
	switch {
	case l.latencyRatio > queueingThreshold:
		l.limit = max(1, l.limit*decreaseFactor)
	case l.saturated:
		l.limit = min(l.limit+1, float64(l.maxLimit))
	}
	l.saturated = false
	l.samplesUntilAdjust = 2 * l.current()
}
