package rosefront

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/roseroute"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

var errUnexpectedMessage = errors.New("the target sent an unexpected message")

func refuseCopy() error {
	return refuse(rosemary.KindUnsupported, "COPY needs a dedicated connection to the target", remedies["copy"])
}

// execute is the last handler of the chain. It runs the request at a target.
func execute(ctx context.Context, r *request) error {
	c := r.client
	lease, err := c.leaseFor(ctx, r)
	if err != nil {
		return err
	}
	r.served = "primary"
	if lease.Replica {
		r.served = "replica"
	}
	e := &execution{request: r, lease: lease, inTransaction: c.lease != nil && lease.Conn.TxStatus() != 'I'}
	if err := c.applySettings(ctx, lease.Conn); err != nil {
		return e.finish(ctx, err)
	}
	c.setRunningConn(lease.Conn)
	err = e.run(ctx)
	e.cancelSent = c.setRunningConn(nil)
	return e.finish(ctx, err)
}

// leaseFor returns the lease of the open transaction or of earlier parts of the
// request, or acquires one.
func (c *client) leaseFor(ctx context.Context, r *request) (*roseroute.ConnLease, error) {
	if c.lease != nil {
		return c.lease, nil
	}
	return c.router.Acquire(ctx, roseroute.Request{
		MinPosition:  c.session.MinPosition,
		Class:        r.class,
		Flow:         r.flow(),
		ForcePrimary: r.forcePrimary,
	})
}

// applySettings applies the session's settings to the connection. It does
// nothing in a transaction, whose connection got them before BEGIN.
func (c *client) applySettings(ctx context.Context, conn *rosepool.Conn) error {
	wanted := c.settings.fingerprint()
	if conn.SettingsFingerprint == wanted || conn.TxStatus() != 'I' {
		return nil
	}
	if _, err := conn.Query(ctx, c.settings.script()); err != nil {
		if trace.IsBadParameter(err) {
			conn.Close()
			return refuse(rosemary.KindUnsupported, "the target refused a session setting: "+err.Error(), "correct the setting with SET, or RESET it")
		}
		return err
	}
	conn.SettingsFingerprint = wanted
	return nil
}

// execution is one attempt to run a request on a connection.
type execution struct {
	request       *request
	lease         *roseroute.ConnLease
	inTransaction bool
	cancelSent    bool
	requestSent   bool
	// claimed is set once the target has accepted the claim, and claimError is its error in
	// response to it, or to the BEGIN before it.
	claimed    bool
	claimError *pgproto3.ErrorResponse
	// position is the target's answer to positionQuery, and positionQueried is
	// set if the exchange included that query.
	position        rosemary.Position
	positionQueried bool
}

// run sends the request together with the proxy's own statements.
func (e *execution) run(ctx context.Context) error {
	r, conn := e.request, e.lease.Conn
	r.answer.holdCompletion = !e.lease.Replica
	reader := &replyReader{request: r, conn: conn}
	messages := r.batch.messages
	evicted := false
	if r.batch.simple == nil {
		t, err := r.client.translate(r.batch, conn)
		if err != nil {
			return err
		}
		messages, reader.replies, evicted = t.messages, t.replies, t.evicted
	}
	if r.claimPlacement == claimWrapped {
		if err := e.beginClaimed(ctx); err != nil || e.claimError != nil {
			return err
		}
	}
	e.requestSent = true
	if !r.isLastPart() {
		return e.runPart(ctx, reader, messages)
	}
	if err := conn.Exchange(ctx, e.steps(reader, messages)...); err != nil {
		return err
	}
	if r.claimPlacement == claimAfter && conn.TxStatus() == 'T' {
		if err := conn.Exchange(ctx, e.claimStep()); err != nil {
			return err
		}
	}
	if reader.failed && evicted {
		// The target may have skipped the Close of the evicted statement.
		conn.Close()
	}
	if reader.failed {
		r.dropFailedParses(conn)
	}
	e.finishClaim()
	return e.recordPosition(ctx)
}

// beginClaimed opens a transaction for the request and claims its identifier in it. The request
// isn't sent along: a target that refuses BEGIN would run it without the claim. In one query the
// claim isn't run after a refused BEGIN.
func (e *execution) beginClaimed(ctx context.Context) error {
	begin := rosepool.Step{Messages: oneMessage(&pgproto3.Query{String: "BEGIN; " + claimQuery(e.request.requestID).String}), Receive: e.receiveClaim}
	if err := e.lease.Conn.Exchange(ctx, begin); err != nil {
		return err
	}
	if e.claimError == nil {
		return nil
	}
	e.finishClaim()
	return e.lease.Conn.Exchange(ctx, rosepool.Step{Messages: oneMessage(&pgproto3.Query{String: "ROLLBACK"})})
}

// claimStep claims the request's identifier.
func (e *execution) claimStep() rosepool.Step {
	return rosepool.Step{Messages: oneMessage(claimQuery(e.request.requestID)), Receive: e.receiveClaim}
}

// steps combines the request, what ends its own transaction and positionQuery in one exchange,
// to save round trips. A claim that fails in the client's transaction fails the request too.
func (e *execution) steps(reader *replyReader, messages []pgproto3.FrontendMessage) []rosepool.Step {
	steps := []rosepool.Step{{Messages: messages, Receive: reader.receive}}
	switch e.request.claimPlacement {
	case claimWrapped:
		steps = append(steps, rosepool.Step{Messages: oneMessage(&pgproto3.Query{String: "COMMIT"}), Receive: e.receiveCommit})
	case claimBefore:
		steps = append([]rosepool.Step{e.claimStep()}, steps...)
	}
	if e.mayCommit() {
		e.positionQueried = true
		steps = append(steps, rosepool.Step{Messages: oneMessage(positionQuery), Receive: e.receivePosition})
	}
	return steps
}

// positionQuery returns the log position of the connection's last commit.
var positionQuery = &pgproto3.Query{String: "SELECT rosemary.position()"}

func oneMessage(message pgproto3.FrontendMessage) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{message}
}

// mayCommit reports whether the request can commit a transaction with writes.
func (e *execution) mayCommit() bool {
	r := e.request
	if e.lease.Replica || !r.executes && !e.hasEarlierParts() {
		return false
	}
	return !e.inTransaction && !r.allOfKinds(rosestatement.KindBegin) || r.hasKind(rosestatement.KindEnd)
}

// hasEarlierParts reports whether earlier parts of the request were already
// sent.
func (e *execution) hasEarlierParts() bool {
	return e.request.client.lease == e.lease && !e.inTransaction
}

func (e *execution) receiveClaim(message pgproto3.BackendMessage) error {
	switch m := message.(type) {
	case *pgproto3.ErrorResponse:
		failure := *m
		e.claimError = &failure
	case *pgproto3.ReadyForQuery:
		e.claimed = e.claimError == nil
	}
	return nil
}

// receiveCommit handles the target's answer to the COMMIT of claimWrapped. An
// error replaces the answer of the request.
func (e *execution) receiveCommit(message pgproto3.BackendMessage) error {
	if m, failed := message.(*pgproto3.ErrorResponse); failed {
		r := e.request
		r.recordTargetError(m)
		r.answer.reset()
		r.answer.send(m)
	}
	return nil
}

func (e *execution) receivePosition(message pgproto3.BackendMessage) error {
	m, isRow := message.(*pgproto3.DataRow)
	if !isRow || len(m.Values) != 1 {
		return nil
	}
	position, err := rosemary.ParsePosition(string(m.Values[0]))
	if err != nil {
		return err
	}
	e.position = position
	return nil
}

// finishClaim records a successful claim. The error of a failed claim replaces
// the error that the request got as a consequence.
func (e *execution) finishClaim() {
	if e.claimError == nil {
		if e.claimed {
			e.request.client.claimedID = e.request.requestID
		}
		return
	}
	r := e.request
	r.recordTargetError(e.claimError)
	r.answer.reset()
	r.answer.send(e.claimError)
	const uniqueViolation = "23505"
	if e.claimError.Code == uniqueViolation {
		r.claimedOutcome = claimOutcome(e.claimError.Detail)
	}
}

// claimOutcome returns the outcome of the first run. The error detail of a
// repeated claim ends with the recorded state, "ran" or "abandoned".
func claimOutcome(detail string) string {
	const ran = "ran"
	if len(detail) >= len(ran) && detail[len(detail)-len(ran):] == ran {
		return ran
	}
	return "did not run"
}

// recordPosition records the log position of a transaction that has ended. It
// sends positionQuery if the exchange did not include it. Without a new commit
// with writes, the position is still that of LastCommit.
func (e *execution) recordPosition(ctx context.Context) error {
	conn := e.lease.Conn
	if e.lease.Replica || conn.TxStatus() != 'I' || conn.Broken() {
		return nil
	}
	if !e.positionQueried && (e.request.executes || e.hasEarlierParts()) {
		if err := conn.Exchange(ctx, rosepool.Step{Messages: oneMessage(positionQuery), Receive: e.receivePosition}); err != nil {
			return err
		}
	}
	if e.position.Compare(conn.LastCommit) > 0 {
		conn.LastCommit = e.position
		e.request.committed = e.position
	}
	return nil
}

// runPart sends a part of a request that continues in the next batch.
func (e *execution) runPart(ctx context.Context, reader *replyReader, messages []pgproto3.FrontendMessage) error {
	conn := e.lease.Conn
	if err := conn.SendFlush(ctx, messages); err != nil {
		return err
	}
	for reader.sendLocal(); len(reader.replies) > 0; reader.sendLocal() {
		message, err := conn.Receive(ctx)
		if err != nil {
			return err
		}
		if err := reader.receive(message); err != nil {
			conn.Close()
			return err
		}
	}
	e.request.batch.skipping = reader.failed
	e.request.answer.holdCompletion = false
	e.request.answer.flush()
	return nil
}

// dropFailedParses removes the statements that the target failed to prepare from
// the session's prepared statements.
func (r *request) dropFailedParses(conn *rosepool.Conn) {
	for _, message := range r.batch.messages {
		m, isParse := message.(*pgproto3.Parse)
		if !isParse || m.Name == "" {
			continue
		}
		if p := r.client.prepared[m.Name]; p != nil && !conn.HasPrepared(p.targetName) {
			delete(r.client.prepared, m.Name)
		}
	}
}
