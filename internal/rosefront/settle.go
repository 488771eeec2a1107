package rosefront

import (
	"context"
	"errors"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// settle decides what becomes of the connection and what the caller is told.
func (e *execution) settle(ctx context.Context, err error) error {
	if err != nil {
		return e.settleFailure(ctx, err)
	}
	c, conn := e.request.caller, e.lease.Conn
	open := conn.TxStatus() != 'I' || !e.request.ends()
	switch {
	case open && c.lease == nil:
		c.transaction = e.request.class
		c.pin(e.lease)
		c.tainted = e.cancelled
	case open:
		c.tainted = c.tainted || e.cancelled
	case c.lease != nil:
		c.tainted = c.tainted || e.cancelled
		c.unpin()
	default:
		if e.cancelled {
			conn.Close()
		}
		c.claimed = ""
		e.lease.Release(true)
	}
	return nil
}

// settleFailure gives up the connection and tells what is known.
func (e *execution) settleFailure(ctx context.Context, err error) error {
	r := e.request
	c := r.caller
	written := e.bodySent && e.lease.Conn.Written()
	e.lease.Conn.Close()
	if c.lease != nil {
		c.unpin()
		c.blockFailed = e.inBlock && !r.has(rosestatement.KindEnd)
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

// outcome tells what a lost connection proves. A transaction that wasn't asked
// to commit is rolled back with its connection.
func (e *execution) outcome(written bool) rosemary.Outcome {
	r := e.request
	ended := r.has(rosestatement.KindEnd)
	switch {
	case !written:
		return rosemary.OutcomeNotRun
	case e.inBlock && !ended:
		return rosemary.OutcomeNotRun
	case !r.executes && !e.partial() || !r.ends():
		return rosemary.OutcomeNotRun
	case r.all(rosestatement.KindBegin):
		return rosemary.OutcomeNotRun
	}
	return rosemary.OutcomeUnknown
}

func remedyFor(outcome rosemary.Outcome) string {
	if outcome == rosemary.OutcomeNotRun {
		return "retry"
	}
	return "ask with rosemary.outcome(request), or read the row before a retry"
}
