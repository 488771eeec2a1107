package rosefront

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// claimPlacement determines where a batch claims the request's identifier, an
// idempotency key that the target records with the writes of the transaction.
type claimPlacement int

const (
	claimNone claimPlacement = iota
	// claimWrapped runs the claim and the request in a transaction of their own.
	claimWrapped
	// claimBefore precedes the request in the client's transaction.
	claimBefore
	// claimAfter follows the request, which is a single BEGIN.
	claimAfter
)

// claimFilter claims the request's identifier in the transaction of the request
// itself, so that the target refuses a second run.
func claimFilter(_ *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		if err := r.planClaim(); err != nil {
			return err
		}
		if err := next(ctx, r); err != nil {
			return err
		}
		if r.claimPlacement != claimNone {
			// rosemary.request applies to a single request.
			r.client.requestID = ""
		}
		if r.claimedOutcome != "" {
			return r.refuseDuplicate(ctx)
		}
		return nil
	}
}

// planClaim sets claimPlacement. It refuses requests whose identifier can't be
// claimed in their own transaction.
func (r *request) planClaim() error {
	r.claimPlacement = claimNone
	if r.requestID == "" || !r.executes || r.class.ReadOnly && !r.forcePrimary || r.client.claimedID == r.requestID {
		return nil
	}
	begins, ends := r.hasKind(rosestatement.KindBegin), r.hasKind(rosestatement.KindEnd)
	switch {
	case !r.isLastPart():
		return refuse(rosemary.KindUnsupported, "a request identifier can't be used with Flush", "end the request with Sync")
	case begins && ends || begins && len(r.statements) > 1:
		return refuse(rosemary.KindUnsupported, "a request identifier can't be used on a script that opens a transaction block",
			"send BEGIN alone with the identifier, or omit BEGIN and COMMIT")
	case begins:
		r.claimPlacement = claimAfter
	case r.client.lease != nil && ends:
		return nil
	case r.client.lease != nil:
		r.claimPlacement = claimBefore
	default:
		r.claimPlacement = claimWrapped
	}
	return nil
}

// refuseDuplicate reports the outcome of the first run once that run can no
// longer be undone by a failover.
func (r *request) refuseDuplicate(ctx context.Context) error {
	group := r.client.router.Group()
	position, err := group.MinReadPosition(ctx, time.Now())
	if err == nil {
		_, err = group.AwaitConfirmation(ctx, position)
	}
	if err != nil {
		return refuse(rosemary.KindDuplicateRequest, "request "+quote(r.requestID)+" was claimed before, and its outcome is not confirmed yet",
			"query rosemary.outcome(request)")
	}
	return refuse(rosemary.KindDuplicateRequest, "request "+quote(r.requestID)+" was claimed before; its first outcome: "+r.claimedOutcome,
		"don't retry; use a new identifier for a new request")
}

func claimQuery(id string) *pgproto3.Query {
	return &pgproto3.Query{String: "SELECT rosemary.claim(" + quoteLiteral(id) + ")"}
}
