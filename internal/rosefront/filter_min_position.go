package rosefront

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// minPositionFilter determines the minimum position of a session before a read,
// if it is unknown: after a write of unknown outcome, or when the client set the
// session's name without its token.
func minPositionFilter(_ *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		c := r.client
		if !c.session.MinPositionUnknown || !r.class.ReadOnly || c.lease != nil {
			return next(ctx, r)
		}
		position, err := c.router.Group().MinReadPosition(ctx, time.Now())
		if err != nil {
			return refuse(rosemary.KindNoPrimary, "the position of the session's last write can't be determined without the primary",
				"pass the session's rosemary.token, or retry later")
		}
		c.session = c.session.WithSampledMinPosition(position)
		return next(ctx, r)
	}
}
