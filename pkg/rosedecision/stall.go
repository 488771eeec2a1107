package rosedecision

import "time"

const (
	// minStall is how long replicas must stay behind for a move of the primary, which
	// interrupts the group for one to two seconds, to be worth it.
	minStall = 10 * time.Second
	// minRelievedQueue is for how long requests must have queued for the primary without a
	// pause: replicas that nobody misses are left to catch up.
	minRelievedQueue = 500 * time.Millisecond
	// maxReceivedLag is how much of the primary's log, by time, a successor may still have
	// to receive when the primary steps down.
	maxReceivedLag = 300 * time.Millisecond
)

// Stall is what is known of replicas that have received their primary's log but will
// apply it tens of seconds later. It answers a spell of late replication after which
// records wait in order behind late ones, so that the primary serves all reads of a busy
// group until then. A successor shows all it has received at once, and the old primary
// has applied all of it.
type Stall struct {
	// Replicas are the replicas that answer.
	Replicas []StalledReplica
	// QueuedFor is how long requests have queued for the primary without a pause.
	QueuedFor time.Duration
}

// StalledReplica is what is known of one replica.
type StalledReplica struct {
	// Lag is how far behind it says that it is, and ReceivedLag how far what it has
	// received is.
	Lag, ReceivedLag time.Duration
	Leaving          bool
}

// MovePrimary reports whether the primary should be moved to one of the replicas.
func (s Stall) MovePrimary() bool {
	if s.QueuedFor < minRelievedQueue {
		return false
	}
	successor := false
	for _, r := range s.Replicas {
		if r.Lag < minStall {
			return false
		}
		successor = successor || !r.Leaving && r.ReceivedLag <= maxReceivedLag
	}
	return successor
}
