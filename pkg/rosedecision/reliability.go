package rosedecision

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the last answer in the moving average of failures.
	failureWeight = 0.2
	// failureHalfLife is the time in which the evidence of failures loses half of its
	// weight, so that a target that has recovered is tried again.
	failureHalfLife = 2 * time.Second
	// failureCost is the cost of a failure to a request: another try elsewhere, or an error
	// for its client.
	failureCost = 400 * time.Millisecond
)

// Reliability is the share of answers of a target that were failures. It answers grey
// targets, which fail part of their requests while their health checks are good, and
// flapping ones: their share of the reads falls with each failure, and rises with time and
// with each success.
type Reliability struct {
	failures float64
	at       time.Time
}

// WithOutcome returns the reliability after an answer at now.
func (r Reliability) WithOutcome(failed bool, now time.Time) Reliability {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	failures := r.Failures(now)
	return Reliability{failures: failures + failureWeight*(outcome-failures), at: now}
}

// Failures returns the share of failures expected at now.
func (r Reliability) Failures(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.failures * math.Exp2(-float64(now.Sub(r.at))/float64(failureHalfLife))
}

// Cost returns the expected cost of a failure.
func (r Reliability) Cost(now time.Time) time.Duration {
	return time.Duration(r.Failures(now) * float64(failureCost))
}
