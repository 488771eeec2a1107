package rosedecision

import "time"

const (
	// maxTeamLead bounds how far the service that a team has had without waiting, or beyond
	// what was expected, sets it back behind the others.
	maxTeamLead = 100 * time.Millisecond
	// priorityHeadStart is the service by which a request goes before one of another team
	// whose route is one level less urgent.
	priorityHeadStart = 20 * time.Millisecond
)

// VirtualTime is the clock of start-time fair queueing, in time of service. It answers a team
// that sends many times its usual load: the others wait as if it had sent its fair share.
type VirtualTime struct {
	elapsed time.Duration
	// idleAt is up to when real time without waiting requests has been counted.
	idleAt time.Time
}

// WithIdle returns the virtual time at now, before which no request waited: it passes like
// real time.
func (v VirtualTime) WithIdle(now time.Time) VirtualTime {
	if !v.idleAt.IsZero() {
		v.elapsed += max(now.Sub(v.idleAt), 0)
	}
	v.idleAt = now
	return v
}

// WithServed returns the virtual time once a request with that start has been served at now,
// for which it waited.
func (v VirtualTime) WithServed(start time.Duration, now time.Time) VirtualTime {
	return VirtualTime{elapsed: max(v.elapsed, start), idleAt: now}
}

// TeamShare is the service that a team has had from one queue.
type TeamShare struct {
	// Priority is lowest for the most important teams.
	Priority int
	// finish is the virtual time at which the service that it has had ends, queuedAt that at
	// which it began to wait.
	finish, queuedAt time.Duration
}

// WithQueued returns the share of a team that begins to wait.
func (s TeamShare) WithQueued(v VirtualTime) TeamShare {
	s.queuedAt = v.elapsed
	return s
}

// WithPriority returns the share of a team whose importance has changed.
func (s TeamShare) WithPriority(priority int) TeamShare {
	s.Priority = priority
	return s
}

// Start returns the virtual start of the next request of a waiting team.
func (s TeamShare) Start() time.Duration { return max(s.queuedAt, s.finish) }

// charge returns a time of service divided by the team's weight, 1/(1+Priority).
func (s TeamShare) charge(service time.Duration) time.Duration {
	return service * time.Duration(1+max(s.Priority, 0))
}

// WithServed returns the share after a request that waited got a connection, which it is
// expected to hold for a time.
func (s TeamShare) WithServed(expected time.Duration) TeamShare {
	s.finish = s.Start() + s.charge(expected)
	return s
}

// WithServedAtOnce returns the share after a request got a connection without waiting.
func (s TeamShare) WithServedAtOnce(v VirtualTime, expected time.Duration) TeamShare {
	s.finish = max(v.elapsed, min(s.finish, v.elapsed+maxTeamLead)) + s.charge(expected)
	return s
}

// WithActual returns the share after a request has held its connection for another time than
// was expected.
func (s TeamShare) WithActual(v VirtualTime, actual, expected time.Duration) TeamShare {
	corrected := s.finish + s.charge(actual-expected)
	s.finish = min(corrected, max(s.finish, v.elapsed+maxTeamLead))
	return s
}

// Ahead estimates how many of a team's waiting requests are served before a request with that
// virtual start, if each holds a connection for holdTime.
func (s TeamShare) Ahead(start, holdTime time.Duration, waiting int) int {
	if start < s.Start() {
		return 0
	}
	return min(1+int((start-s.Start())/max(s.charge(holdTime), 1)), waiting)
}

// After returns the virtual start of a new request of the team behind its own waiting ones.
func (s TeamShare) After(v VirtualTime, holdTime time.Duration, waiting int) time.Duration {
	if waiting == 0 {
		return max(v.elapsed, s.finish)
	}
	return s.Start() + time.Duration(waiting)*s.charge(holdTime)
}

// TeamTurn is the place among the teams of a team's next waiting request. It answers teams that
// compete for the connections to one target, some of which need a new one.
type TeamTurn struct {
	// Start is the virtual start of the team's next request.
	Start time.Duration
	// RoutePriority is that of the request, lowest for the most urgent.
	RoutePriority int
	// OpenTime is how long a connection takes to open that the request doesn't need if one
	// of its team is returned soon; zero if there is none in use, or one is idle.
	OpenTime time.Duration
	// Sequence is the order of arrival.
	Sequence uint64
}

// Before reports whether the request is served before that of another team.
func (t TeamTurn) Before(other TeamTurn) bool {
	if mine, others := t.effectiveStart(), other.effectiveStart(); mine != others {
		return mine < others
	}
	return t.Sequence < other.Sequence
}

func (t TeamTurn) effectiveStart() time.Duration {
	return t.Start + t.OpenTime + time.Duration(t.RoutePriority)*priorityHeadStart
}
