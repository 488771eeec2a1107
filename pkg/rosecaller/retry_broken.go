//go:build rosebroken

package rosecaller

// retriesUnansweredWrites has a write retried whose answer was lost, so that it
// may run twice.
const retriesUnansweredWrites = true
