package rosefront

import (
	"context"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/roseadmit"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

var errAnswerTooLarge = errors.New("the answer of a write is too large to be held for its confirmation")

// handler serves a request. Its error is a *rosemary.Refusal; an error that
// the target answered is part of the request's answer instead.
type handler func(ctx context.Context, r *request) error

// filter wraps a handler.
type filter func(s *Server, next handler) handler

// buildChain returns the handler that all requests pass.
func buildChain(s *Server) handler {
	chain := handler(execute)
	for _, f := range []filter{claimFilter, confirmFilter, retryFilter, floorFilter, localFilter, checkFilter} {
		chain = f(s, chain)
	}
	return chain
}

// request is one batch on its way through the chain.
type request struct {
	caller     *caller
	batch      *batch
	statements []rosestatement.Statement
	tags       rosestatement.Tags
	class      rosemary.Class
	classError error
	id         string
	claim      claimPlan
	executes   bool
	answer     *answer

	// forcePrimary is set once a replica refused the request as a write.
	forcePrimary bool
	// served tells the kind of target that answered.
	served string
	// failure is the error that the target answered.
	failure *pgproto3.ErrorResponse
	// committed is the position of what the request wrote.
	committed rosemary.Position
	// claimRefused is set when the request's identifier was claimed before.
	claimRefused string
}

func newRequest(c *caller, b *batch) *request {
	r := &request{caller: c, batch: b, answer: &answer{caller: c}}
	if router, found := c.server.config.Directory.Router(c.session.Database); found {
		c.router = router
	}
	r.scan()
	r.class, r.classError = r.findClass()
	r.id = r.tags.RequestID
	if r.id == "" {
		r.id = c.requestID
	}
	return r
}

// scan collects the statements that the batch is about.
func (r *request) scan() {
	for _, message := range r.batch.messages {
		switch m := message.(type) {
		case *pgproto3.Query:
			r.note(rosestatement.Scan(m.String))
			r.executes = true
		case *pgproto3.Parse:
			p := newPreparedStatement(m)
			r.caller.prepared[m.Name] = p
			r.note(p.script)
		case *pgproto3.Bind:
			if p := r.caller.prepared[m.PreparedStatement]; p != nil {
				r.note(p.script)
			}
		case *pgproto3.Execute:
			r.executes = true
		}
	}
}

func (r *request) note(script rosestatement.Script) {
	r.statements = append(r.statements, script.Statements...)
	if r.tags.Class == "" {
		r.tags.Class = script.Tags.Class
	}
	if r.tags.RequestID == "" {
		r.tags.RequestID = script.Tags.RequestID
	}
}

func (r *request) findClass() (rosemary.Class, error) {
	c := r.caller
	standard := rosemary.DefaultClass(c.server.config.DefaultDeadline)
	if c.lease != nil {
		return c.transaction, nil
	}
	name := r.tags.Class
	if name == "" {
		name = c.class
	}
	if name == "" || name == standard.Name {
		return standard, nil
	}
	class, found := c.server.config.Directory.Class(name)
	if !found {
		return standard, unknownClass(name)
	}
	if class.Timeout <= 0 {
		class.Timeout = standard.Timeout
	}
	return class, nil
}

// has reports whether one of the statements is of kind.
func (r *request) has(kind rosestatement.Kind) bool {
	for _, s := range r.statements {
		if s.Kind() == kind {
			return true
		}
	}
	return false
}

// all reports whether there are statements and each is of one of kinds.
func (r *request) all(kinds ...rosestatement.Kind) bool {
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

// mayRepeat reports whether the request may be sent again although it may
// have run.
func (r *request) mayRepeat() bool {
	return !r.forcePrimary && (r.class.ReadOnly || r.class.Idempotent || !r.executes)
}

// ends reports whether the batch ends with ReadyForQuery.
func (r *request) ends() bool { return !r.batch.flush }

func (r *request) flow() roseadmit.Flow {
	return roseadmit.Flow{
		Tenant: r.caller.tenant.Name,
		Class:  r.class.Name,
		Weight: max(r.caller.tenant.Weight, 1) * max(r.class.Weight, 1),
	}
}

func (r *request) servedBy() string {
	if r.served == "" {
		return "none"
	}
	return r.served
}

// reset prepares for another try.
func (r *request) reset() {
	r.answer.reset()
	r.failure = nil
	r.committed = rosemary.Position{}
	r.claimRefused = ""
}

// fail puts a refusal in the place of what the answer still holds.
func (r *request) fail(err error) {
	refusal := rosemary.AsRefusal(err, rosemary.OutcomeUnknown)
	r.answer.reset()
	r.answer.hold = false
	r.answer.send(errorResponse(refusal, "ERROR"))
	if !r.ends() {
		r.batch.skipping = true
		return
	}
	r.ready()
}

// ready ends the answer with the session's new token and its state.
func (r *request) ready() {
	c := r.caller
	if token := c.server.config.Keys.Sign(c.session); token != c.token {
		c.token = token
		r.answer.send(&pgproto3.ParameterStatus{Name: settingToken, Value: token})
	}
	r.answer.send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
}

// txStatus is what the caller is told of its transaction.
func (c *caller) txStatus() byte {
	switch {
	case c.blockFailed:
		return 'E'
	case c.lease != nil:
		return c.lease.Conn.TxStatus()
	}
	return 'I'
}
