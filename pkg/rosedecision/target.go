package rosedecision

import "time"

const (
	// crossZonePenalty is added to the cost of a target in another availability
	// zone: about a round trip and the price of the traffic.
	crossZonePenalty = 6 * time.Millisecond
	// primaryPenalty keeps reads that a replica can serve off the primary.
	primaryPenalty = 15 * time.Millisecond
	// avoidPenalty is added for a target that has just failed to answer the request.
	avoidPenalty = time.Second
	// minResponseTime is assumed of a target that answers faster.
	minResponseTime = time.Millisecond
	// costSpread is the share by which costs vary at random, so that requests spread over
	// targets of similar cost.
	costSpread = 0.1
)

// Target is what is known of a target that could run a read. It answers targets that are
// unequally busy, slow, or failing while their health checks are good.
type Target struct {
	// ResponseTime is the mean time of an exchange.
	ResponseTime time.Duration
	// InUse, Waiting and Limit are the connections in use, the requests that wait for one,
	// and the connections allowed.
	InUse, Waiting, Limit int
	// OtherZone is set if the target is in another availability zone than the proxy.
	OtherZone bool
	Primary   bool
	// Avoid is set if the target has just failed to answer this request.
	Avoid bool
	// OpenTime is how long a connection to it takes to open for the request; zero if the
	// request needs none.
	OpenTime time.Duration
	// Reliability is what its last answers say of it.
	Reliability Reliability
}

// Cost estimates the time until the answer of a read that is sent at now. spread, from 0 to 1, is drawn
// anew for each target and request.
func (t Target) Cost(now time.Time, spread float64) time.Duration {
	responseTime := max(t.ResponseTime, minResponseTime)
	limit := max(t.Limit, 1)
	load := float64(t.InUse+t.Waiting) / float64(limit)
	cost := time.Duration(float64(responseTime) * (1 + load) * (1 + costSpread*(spread-0.5)))
	cost += responseTime * time.Duration(t.Waiting) / time.Duration(limit)
	cost += t.OpenTime + t.Reliability.Cost(now)
	if t.OtherZone {
		cost += crossZonePenalty
	}
	if t.Primary {
		cost += primaryPenalty
	}
	if t.Avoid {
		cost += avoidPenalty
	}
	return cost
}
