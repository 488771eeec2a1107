package rosefront

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// readOnlySQLState is the SQLSTATE of a write refused by a read-only target.
// The write has not run.
const readOnlySQLState = "25006"

// retryInterval is the pause before a retry. It limits the number of attempts
// while the primary of a group changes.
const retryInterval = 10 * time.Millisecond

// retryFilter retries a request that has not run or may safely run twice,
// within the retry budget and the deadline.
func retryFilter(s *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		inTransaction := r.client.lease != nil
		for {
			err := next(ctx, r)
			if inTransaction || r.answer.streamed || !r.shouldRetry(err) || !s.retryBudget.TryWithdraw() {
				return err
			}
			if !roseclock.Sleep(ctx, retryInterval) {
				return err
			}
			r.reset()
		}
	}
}

// shouldRetry reports whether a retry is safe and can succeed.
func (r *request) shouldRetry(err error) bool {
	if err == nil {
		return r.redirectWrite()
	}
	var refusal *rosemary.Refusal
	if !errors.As(err, &refusal) || refusal.Kind != rosemary.KindConnectionLost {
		return false
	}
	return refusal.Outcome == rosemary.OutcomeNotRun || r.mayRepeat()
}

// redirectWrite reports whether a read-only target refused the request as a
// write, and if so sends the next attempt to the primary.
func (r *request) redirectWrite() bool {
	if r.targetError == nil || r.targetError.Code != readOnlySQLState || r.hasKind(rosestatement.KindEnd) || !r.isLastPart() {
		return false
	}
	r.forcePrimary = true
	return true
}
