package rosefront

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// readOnlyState is the SQLSTATE of a write on a target that takes none. The
// target has not run it.
const readOnlyState = "25006"

// retryPause separates tries while a group changes its primary.
const retryPause = 10 * time.Millisecond

// retryFilter runs a request again when it has not run, or may run twice,
// within the retry budget and the deadline.
func retryFilter(s *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		inBlock := r.caller.lease != nil
		for {
			err := next(ctx, r)
			if inBlock || r.answer.streamed || !r.again(err) || !s.budget.TryWithdraw() {
				return err
			}
			if !roseclock.Sleep(ctx, retryPause) {
				return err
			}
			r.reset()
		}
	}
}

// again reports whether another try is allowed and may help.
func (r *request) again(err error) bool {
	if err == nil {
		return r.refusedAsWrite()
	}
	var refusal *rosemary.Refusal
	if !errors.As(err, &refusal) || refusal.Kind != rosemary.KindConnectionLost {
		return false
	}
	return refusal.Outcome == rosemary.OutcomeNotRun || r.mayRepeat()
}

// refusedAsWrite reports whether the target refused a write, which then has
// not run. The next try goes to the primary.
func (r *request) refusedAsWrite() bool {
	if r.failure == nil || r.failure.Code != readOnlyState || r.has(rosestatement.KindEnd) || !r.ends() {
		return false
	}
	r.forcePrimary = true
	return true
}
