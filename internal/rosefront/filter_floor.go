package rosefront

import (
	"context"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// floorFilter finds the floor of a session that was named without a token,
// before its first read from a replica.
func floorFilter(_ *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		c := r.caller
		if !c.session.MinPositionUnknown || !r.class.ReadOnly || c.lease != nil {
			return next(ctx, r)
		}
		floor, err := c.router.Group().MinReadPosition(ctx, time.Now())
		if err != nil {
			return refuse(rosemary.KindNoPrimary, "what the session wrote before can't be found out without the primary",
				"pass the session's rosemary.token, or retry later")
		}
		c.session = c.session.WithSampledMinPosition(floor)
		return next(ctx, r)
	}
}
