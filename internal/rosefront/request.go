package rosefront

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

var errAnswerTooLarge = errors.New("the answer to a write is too large to buffer until the write is confirmed")

// handler serves a request. Its error is a *rosemary.Refusal; errors from the
// target are part of the request's answer instead.
type handler func(ctx context.Context, r *request) error

// filter wraps a handler.
type filter func(s *Server, next handler) handler

// buildChain returns the handler of all requests. The last filter of the list
// runs first.
func buildChain(s *Server) handler {
	chain := handler(execute)
	for _, f := range []filter{claimFilter, confirmFilter, retryFilter, minPositionFilter, localFilter, checkFilter} {
		chain = f(s, chain)
	}
	return chain
}

// request is a batch that is being served. If the client uses Flush, its
// request up to Sync is served in several parts, each a batch.
type request struct {
	client         *client
	batch          *batch
	statements     []rosestatement.Statement
	tags           rosestatement.Tags
	class          rosemary.Class
	classError     error
	requestID      string
	claimPlacement claimPlacement
	// executes is set if the batch runs statements, and doesn't only prepare,
	// bind or describe them.
	executes bool
	answer   *answer

	// forcePrimary is set once a read-only target refused the request as a
	// write.
	forcePrimary bool
	// served is what answered: "primary", "replica", "proxy", or empty if
	// nothing did.
	served string
	// targetError is the error that the target returned.
	targetError *pgproto3.ErrorResponse
	// committed is the log position of the transaction with writes that the
	// request committed, or zero.
	committed rosemary.Position
	// claimedOutcome is the outcome of the first run if the request's
	// identifier was already claimed.
	claimedOutcome string
}

func newRequest(c *client, b *batch) *request {
	r := &request{client: c, batch: b, answer: &answer{client: c}}
	if router, found := c.server.config.ConfigProvider.Router(c.session.Database); found {
		c.router = router
	}
	r.scan()
	r.class, r.classError = r.resolveClass()
	r.requestID = r.tags.RequestID
	if r.requestID == "" {
		r.requestID = c.requestID
	}
	return r
}

// scan collects the statements of the batch, and adds those that it prepares to
// the session's prepared statements.
func (r *request) scan() {
	for _, message := range r.batch.messages {
		switch m := message.(type) {
		case *pgproto3.Query:
			r.addScript(rosestatement.Scan(m.String))
			r.executes = true
		case *pgproto3.Parse:
			p := newPreparedStatement(m)
			r.client.prepared[m.Name] = p
			r.addScript(p.script)
		case *pgproto3.Bind:
			if p := r.client.prepared[m.PreparedStatement]; p != nil {
				r.addScript(p.script)
			}
		case *pgproto3.Execute:
			r.executes = true
		}
	}
}

func (r *request) addScript(script rosestatement.Script) {
	r.statements = append(r.statements, script.Statements...)
	if r.tags.Class == "" {
		r.tags.Class = script.Tags.Class
	}
	if r.tags.RequestID == "" {
		r.tags.RequestID = script.Tags.RequestID
	}
}

func (r *request) resolveClass() (rosemary.Class, error) {
	c := r.client
	defaultClass := rosemary.DefaultClass(c.server.config.DefaultTimeout)
	if c.lease != nil {
		return c.transactionClass, nil
	}
	name := r.tags.Class
	if name == "" {
		name = c.className
	}
	if name == "" || name == defaultClass.Name {
		return defaultClass, nil
	}
	class, found := c.server.config.ConfigProvider.Class(name)
	if !found {
		return defaultClass, unknownClass(name)
	}
	if class.Timeout <= 0 {
		class.Timeout = defaultClass.Timeout
	}
	return class, nil
}

// hasKind reports whether one of the statements is of that kind.
func (r *request) hasKind(kind rosestatement.Kind) bool {
	for _, s := range r.statements {
		if s.Kind() == kind {
			return true
		}
	}
	return false
}

// allOfKinds reports whether there are statements and each is of one of kinds.
func (r *request) allOfKinds(kinds ...rosestatement.Kind) bool {
	for _, s := range r.statements {
		found := false
		for _, k := range kinds {
			found = found || s.Kind() == k
		}
		if !found {
			return false
		}
	}
	return len(r.statements) > 0
}

// mayRepeat reports whether the request may be retried even if it may have run.
// With forcePrimary it may not, because it writes even if its class is read-only.
func (r *request) mayRepeat() bool {
	return !r.forcePrimary && (r.class.ReadOnly || r.class.Idempotent || !r.executes)
}

// isLastPart reports whether the batch ends the request, so that ReadyForQuery
// follows.
func (r *request) isLastPart() bool { return !r.batch.flush }

func (r *request) flow() roseadmit.Flow {
	return roseadmit.Flow{
		Tenant: r.client.tenant.Name,
		Class:  r.class.Name,
		Weight: max(r.client.tenant.Weight, 1) * max(r.class.Weight, 1),
	}
}

func (r *request) servedBy() string {
	if r.served == "" {
		return "none"
	}
	return r.served
}

// reset prepares for another attempt.
func (r *request) reset() {
	r.answer.reset()
	r.targetError = nil
	r.committed = rosemary.Position{}
	r.claimedOutcome = ""
}

// sendRefusal replaces the part of the answer that was not sent with a refusal.
func (r *request) sendRefusal(err error) {
	refusal := rosemary.AsRefusal(err, rosemary.OutcomeUnknown)
	r.answer.reset()
	r.answer.holdCompletion = false
	r.answer.send(errorResponse(refusal, "ERROR"))
	if !r.isLastPart() {
		r.batch.skipping = true
		return
	}
	r.sendReady()
}

// sendReady ends the answer with the session's token, if it changed, and the
// transaction status.
func (r *request) sendReady() {
	c := r.client
	if token := c.server.config.TokenKeys.Sign(c.session); token != c.sentToken {
		c.sentToken = token
		r.answer.send(&pgproto3.ParameterStatus{Name: settingToken, Value: token})
	}
	r.answer.send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
}

// txStatus is the transaction status for ReadyForQuery.
func (c *client) txStatus() byte {
	switch {
	case c.transactionLost:
		return 'E'
	case c.lease != nil:
		return c.lease.Conn.TxStatus()
	}
	return 'I'
}
