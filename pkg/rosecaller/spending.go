package rosecaller

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
)

// spending adds up where the time of a task goes.
type spending struct {
	spent Spent
	// triedAt is when the last try began; zero before the first.
	triedAt time.Time
}

// acquired records the waits for a lease, after which a try begins. What the try before it
// took has failed.
func (s *spending) acquired(lease *rosefleet.ConnLease, askedAt time.Time) {
	if !s.triedAt.IsZero() {
		s.spent.Failed += askedAt.Sub(s.triedAt)
	}
	targetWait, connWait := lease.Waits()
	s.spent.TargetWait += targetWait
	s.spent.ConnWait += connWait
	s.spent.Tries++
	s.triedAt = time.Now()
}

// late returns where the time went if it is past softDeadline.
func (s *spending) late(softDeadline time.Time) Spent {
	now := time.Now()
	if softDeadline.IsZero() || !now.After(softDeadline) {
		return Spent{}
	}
	spent := s.spent
	if !s.triedAt.IsZero() {
		spent.Target = now.Sub(s.triedAt)
	}
	return spent
}
