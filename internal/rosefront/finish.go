package rosefront

import (
	"context"
	"errors"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// finish keeps the connection for an open transaction or the next part of the
// request, releases it otherwise, or handles err.
func (e *execution) finish(ctx context.Context, err error) error {
	if err != nil {
		return e.finishFailed(ctx, err)
	}
	c, conn := e.request.client, e.lease.Conn
	open := conn.TxStatus() != 'I' || !e.request.isLastPart()
	switch {
	case open && c.lease == nil:
		c.transactionClass = e.request.class
		c.pin(e.lease)
		c.cancelPending = e.cancelSent
	case open:
		c.cancelPending = c.cancelPending || e.cancelSent
	case c.lease != nil:
		c.cancelPending = c.cancelPending || e.cancelSent
		c.unpin()
	default:
		if e.cancelSent {
			conn.Close()
		}
		c.claimedID = ""
		e.lease.Release(true)
	}
	return nil
}

// finishFailed closes the connection and returns a refusal with the outcome as
// far as it is known.
func (e *execution) finishFailed(ctx context.Context, err error) error {
	r := e.request
	c := r.client
	written := e.requestSent && e.lease.Conn.Written()
	e.lease.Conn.Close()
	if c.lease != nil {
		c.unpin()
		c.transactionLost = e.inTransaction && !r.hasKind(rosestatement.KindEnd)
	} else {
		e.lease.Release(false)
	}
	var refusal *rosemary.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	outcome := e.outcome(written)
	if outcome == rosemary.OutcomeUnknown && !e.lease.Replica && r.executes {
		c.session = c.session.WithUnknownMinPosition()
	}
	if ctx.Err() != nil {
		return &rosemary.Refusal{
			Kind:    rosemary.KindDeadline,
			Outcome: outcome,
			Message: "the target did not answer before the deadline",
			Remedy:  remedyFor(outcome),
		}
	}
	return &rosemary.Refusal{
		Kind:    rosemary.KindConnectionLost,
		Outcome: outcome,
		Message: "the connection to the target was lost",
		Remedy:  remedyFor(outcome),
	}
}

// outcome returns the outcome of a request whose connection was lost: unknown if
// the target may have committed it, and otherwise not run, because the target
// rolls back a transaction whose connection ends.
func (e *execution) outcome(written bool) rosemary.Outcome {
	r := e.request
	ended := r.hasKind(rosestatement.KindEnd)
	switch {
	case !written:
		return rosemary.OutcomeNotRun
	case e.inTransaction && !ended:
		return rosemary.OutcomeNotRun
	case !r.executes && !e.hasEarlierParts() || !r.isLastPart():
		return rosemary.OutcomeNotRun
	case r.allOfKinds(rosestatement.KindBegin):
		return rosemary.OutcomeNotRun
	}
	return rosemary.OutcomeUnknown
}

func remedyFor(outcome rosemary.Outcome) string {
	if outcome == rosemary.OutcomeNotRun {
		return "retry"
	}
	return "query rosemary.outcome(request), or read the row before a retry"
}
