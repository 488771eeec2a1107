package rosefront

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// claimPlan tells where the claim of a request identifier goes.
type claimPlan int

const (
	claimNone claimPlan = iota
	// claimWrapped puts the request in a transaction block of its own.
	claimWrapped
	// claimBefore goes first within the caller's transaction block.
	claimBefore
	// claimAfter follows the BEGIN that the request consists of.
	claimAfter
)

// claimFilter claims the request's identifier in the transaction of the
// request itself, so that a second run is refused by the target.
func claimFilter(_ *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		if err := r.planClaim(); err != nil {
			return err
		}
		if err := next(ctx, r); err != nil {
			return err
		}
		if r.claim != claimNone {
			r.caller.requestID = ""
		}
		if r.claimRefused != "" {
			return r.refuseDuplicate(ctx)
		}
		return nil
	}
}

func (r *request) planClaim() error {
	r.claim = claimNone
	if r.id == "" || !r.executes || r.class.ReadOnly && !r.forcePrimary || r.caller.claimed == r.id {
		return nil
	}
	begins, ends := r.has(rosestatement.KindBegin), r.has(rosestatement.KindEnd)
	switch {
	case !r.ends():
		return refuse(rosemary.KindUnsupported, "a request identifier with Flush isn't supported", "send Sync with the request")
	case begins && ends || begins && len(r.statements) > 1:
		return refuse(rosemary.KindUnsupported, "a request identifier on a script that opens its own transaction block",
			"send BEGIN alone with the identifier, or leave BEGIN and COMMIT out")
	case begins:
		r.claim = claimAfter
	case r.caller.lease != nil && ends:
		return nil
	case r.caller.lease != nil:
		r.claim = claimBefore
	default:
		r.claim = claimWrapped
	}
	return nil
}

// refuseDuplicate tells the outcome of the first run, once that is settled.
func (r *request) refuseDuplicate(ctx context.Context) error {
	group := r.caller.router.Group()
	position, err := group.MinReadPosition(ctx, time.Now())
	if err == nil {
		_, err = group.AwaitConfirmation(ctx, position)
	}
	if err != nil {
		return refuse(rosemary.KindDuplicateRequest, "request "+quote(r.id)+" was claimed before, and its outcome isn't settled yet",
			"ask with rosemary.outcome(request)")
	}
	return refuse(rosemary.KindDuplicateRequest, "request "+quote(r.id)+" was claimed before; its first outcome: "+r.claimRefused,
		"don't send it again; use a new identifier for a new request")
}

func claimQuery(id string) *pgproto3.Query {
	return &pgproto3.Query{String: "SELECT rosemary.claim(" + literal(id) + ")"}
}
