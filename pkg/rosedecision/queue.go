// Package rosedecision decides how requests wait, which are refused, and where they are
// placed. Its types are immutable values without input, output or a clock: callers pass in
// what they know and the current time. Each names the load pattern that it answers, which
// its tests replay.
package rosedecision

import "time"

// OverloadThreshold is how long requests must have been waiting without a pause for a queue
// to count as overloaded.
const OverloadThreshold = 300 * time.Millisecond

// Queue is what is known of the requests that wait for a connection to one target. It
// answers a burst, in which requests may wait up to their deadlines, and an overload, in
// which those are refused whose answers would come too late for the aim, so that the
// others are in time.
type Queue struct {
	// Idle is the number of connections that are free, Open that of all open ones, and
	// Limit that of those allowed.
	Idle, Open, Limit int
	// Ahead is the number of waiting requests that go before a new one.
	Ahead int
	// HoldTime is how long a request holds its connection on average.
	HoldTime time.Duration
	// OpenTime is how long a connection takes to open for a new request; zero if it needs
	// none.
	OpenTime time.Duration
	// QueuedFor is how long requests have been waiting without a pause; zero if none is.
	QueuedFor time.Duration
}

// Overloaded reports whether requests have waited for too long for a short burst.
func (q Queue) Overloaded() bool { return q.QueuedFor > OverloadThreshold }

// Wait estimates how long a new request waits for a connection, and for that to open.
func (q Queue) Wait() time.Duration {
	if q.Idle > 0 || q.Open < q.Limit {
		return q.OpenTime
	}
	return q.OpenTime + time.Duration(float64(q.Ahead+1)/float64(max(q.Limit, 1))*float64(q.HoldTime))
}

// Admits reports whether a new request that arrives at now is worth queueing: its wait ends
// before the deadline or, under overload, before the soft deadline. A request that is late
// already is not refused for a delay that isn't the queue's.
func (q Queue) Admits(softDeadline, deadline, now time.Time) bool {
	limit := deadline
	if q.Overloaded() && now.Before(softDeadline) {
		limit = softDeadline
	}
	return q.Wait() <= limit.Sub(now)
}

// Turn is the place of a waiting request in its queue. It answers a mix of urgent and less
// urgent requests in a burst.
type Turn struct {
	// Priority is lowest for the most urgent requests.
	Priority int
	// Deadline is when the answer is no longer of use, SoftDeadline when it should be there.
	Deadline, SoftDeadline time.Time
	// Sequence is the order of arrival.
	Sequence uint64
}

// Before reports whether the request is served before another one: by priority, then by
// deadline, then in the order of arrival.
func (t Turn) Before(other Turn) bool {
	switch {
	case t.Priority != other.Priority:
		return t.Priority < other.Priority
	case !t.Deadline.Equal(other.Deadline):
		return t.Deadline.Before(other.Deadline)
	}
	return t.Sequence < other.Sequence
}

// Shed reports whether the request is refused when its turn comes at now: under overload,
// its answer would come too late.
func (t Turn) Shed(queue Queue, now time.Time) bool {
	return queue.Overloaded() && !now.Before(t.SoftDeadline)
}
