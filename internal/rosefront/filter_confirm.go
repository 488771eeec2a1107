package rosefront

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// confirmFilter delays the answer to a write until a quorum of targets holds
// the write.
func confirmFilter(s *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		if err := next(ctx, r); err != nil {
			return err
		}
		if !r.committed.IsZero() {
			if err := s.confirm(ctx, r); err != nil {
				return err
			}
		}
		if r.isLastPart() {
			r.sendReady()
		}
		return nil
	}
}

func (s *Server) confirm(ctx context.Context, r *request) error {
	c := r.client
	started := time.Now()
	previous := c.session
	c.session = c.session.WithMinPosition(r.committed)
	if s.config.AcknowledgeOnPrimary {
		return nil
	}
	state, err := c.router.Group().AwaitConfirmation(ctx, r.committed)
	s.config.Metrics.observeConfirm(c.tenant.Name, time.Since(started))
	switch {
	case err != nil:
		return &rosemary.Refusal{
			Kind:    rosemary.KindUnconfirmed,
			Outcome: rosemary.OutcomeUnknown,
			Message: "the write reached the primary but was not confirmed by a quorum of targets before the deadline",
			Remedy:  "query rosemary.outcome(request), or read the row from the primary",
		}
	case state == rosemary.RecordLost:
		c.session = previous
		return refuse(rosemary.KindUnconfirmed, "the primary was replaced before the write was confirmed, and the write was lost", "retry")
	}
	return nil
}
