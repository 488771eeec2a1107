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

var errUnexpectedReply = errors.New("the target sent an answer that nothing asked for")

func refuseCopy() error {
	return refuse(rosemary.KindUnsupported, "COPY needs a connection of its own", remedies["copy"])
}

// execute is the end of the chain: it sends the request to a target.
func execute(ctx context.Context, r *request) error {
	c := r.caller
	lease, err := c.leaseFor(ctx, r)
	if err != nil {
		return err
	}
	r.served = "primary"
	if lease.Replica {
		r.served = "replica"
	}
	e := &execution{request: r, lease: lease, inBlock: c.lease != nil && lease.Conn.TxStatus() != 'I'}
	if err := c.applySettings(ctx, lease.Conn); err != nil {
		return e.settle(ctx, err)
	}
	c.setRunning(lease.Conn)
	err = e.run(ctx)
	e.cancelled = c.setRunning(nil)
	return e.settle(ctx, err)
}

// leaseFor returns the lease of the open transaction, or a new one.
func (c *caller) leaseFor(ctx context.Context, r *request) (*roseroute.Lease, error) {
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

// applySettings gives the connection the session's settings.
func (c *caller) applySettings(ctx context.Context, conn *rosepool.Conn) error {
	wanted := c.settings.fingerprint()
	if conn.SettingsFingerprint == wanted || conn.TxStatus() != 'I' {
		return nil
	}
	if _, err := conn.Query(ctx, c.settings.script()); err != nil {
		if trace.IsBadParameter(err) {
			conn.Close()
			return refuse(rosemary.KindUnsupported, "a session setting was refused: "+err.Error(), "correct it with SET, or RESET it")
		}
		return err
	}
	conn.SettingsFingerprint = wanted
	return nil
}

// execution is one try of a request on one connection.
type execution struct {
	request      *request
	lease        *roseroute.Lease
	inBlock      bool
	cancelled    bool
	bodySent     bool
	claimFailure *pgproto3.ErrorResponse
	position     rosemary.Position
	asked        bool
}

// run sends the request with what the proxy adds around it.
func (e *execution) run(ctx context.Context) error {
	r, conn := e.request, e.lease.Conn
	r.answer.hold = !e.lease.Replica
	reader := &replyReader{request: r, conn: conn}
	messages := r.batch.messages
	evicts := false
	if r.batch.simple == nil {
		t, err := r.caller.translate(r.batch, conn)
		if err != nil {
			return err
		}
		messages, reader.replies, evicts = t.messages, t.replies, t.evicts
	}
	e.bodySent = true
	if !r.ends() {
		return e.runPart(ctx, reader, messages)
	}
	if err := conn.Exchange(ctx, e.steps(reader, messages)...); err != nil {
		return err
	}
	if reader.failed && evicts {
		conn.Close()
	}
	if reader.failed {
		r.forgetFailedParses(conn)
	}
	e.replaceByClaimFailure()
	return e.askPosition(ctx)
}

// steps puts the claim, the request and the question for the position of what
// was written in one exchange.
func (e *execution) steps(reader *replyReader, messages []pgproto3.FrontendMessage) []rosepool.Step {
	r := e.request
	body := rosepool.Step{Messages: messages, Receive: reader.take}
	claim := rosepool.Step{Messages: one(claimQuery(r.id)), Receive: e.takeClaim}
	var steps []rosepool.Step
	switch r.claim {
	case claimWrapped:
		steps = []rosepool.Step{
			{Messages: one(&pgproto3.Query{String: "BEGIN"})},
			claim,
			body,
			{Messages: one(&pgproto3.Query{String: "COMMIT"}), Receive: e.takeCommit},
		}
	case claimBefore:
		steps = []rosepool.Step{claim, body}
	case claimAfter:
		steps = []rosepool.Step{body, claim}
	default:
		steps = []rosepool.Step{body}
	}
	if e.mayCommit() {
		e.asked = true
		steps = append(steps, rosepool.Step{Messages: one(positionQuery), Receive: e.takePosition})
	}
	return steps
}

var positionQuery = &pgproto3.Query{String: "SELECT rosemary.position()"}

func one(message pgproto3.FrontendMessage) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{message}
}

// mayCommit reports whether the request can end a transaction that wrote.
func (e *execution) mayCommit() bool {
	r := e.request
	if e.lease.Replica || !r.executes && !e.partial() {
		return false
	}
	return !e.inBlock && !r.all(rosestatement.KindBegin) || r.has(rosestatement.KindEnd)
}

// partial reports whether earlier parts of the request were sent already.
func (e *execution) partial() bool {
	return e.request.caller.lease == e.lease && !e.inBlock
}

func (e *execution) takeClaim(message pgproto3.BackendMessage) error {
	if m, failed := message.(*pgproto3.ErrorResponse); failed {
		failure := *m
		e.claimFailure = &failure
	}
	return nil
}

// takeCommit takes the answer to the COMMIT of a wrapped request.
func (e *execution) takeCommit(message pgproto3.BackendMessage) error {
	if m, failed := message.(*pgproto3.ErrorResponse); failed {
		r := e.request
		r.noteFailure(m)
		r.answer.reset()
		r.answer.send(m)
	}
	return nil
}

func (e *execution) takePosition(message pgproto3.BackendMessage) error {
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

// replaceByClaimFailure puts the claim's error in the place of the error that
// the request got because of it.
func (e *execution) replaceByClaimFailure() {
	if e.claimFailure == nil {
		if e.request.claim != claimNone {
			e.request.caller.claimed = e.request.id
		}
		return
	}
	r := e.request
	r.noteFailure(e.claimFailure)
	r.answer.reset()
	r.answer.send(e.claimFailure)
	const uniqueViolation = "23505"
	if e.claimFailure.Code == uniqueViolation {
		r.claimRefused = outcomeIn(e.claimFailure.Detail)
	}
}

// outcomeIn returns the outcome that a refused claim tells.
func outcomeIn(detail string) string {
	const ran = "ran"
	if len(detail) >= len(ran) && detail[len(detail)-len(ran):] == ran {
		return ran
	}
	return "did not run"
}

// askPosition asks for the position when the transaction ended without the
// question on its way.
func (e *execution) askPosition(ctx context.Context) error {
	conn := e.lease.Conn
	if e.lease.Replica || conn.TxStatus() != 'I' || conn.Broken() {
		return nil
	}
	if !e.asked && (e.request.executes || e.partial()) {
		if err := conn.Exchange(ctx, rosepool.Step{Messages: one(positionQuery), Receive: e.takePosition}); err != nil {
			return err
		}
	}
	if e.position.Compare(conn.LastCommit) > 0 {
		conn.LastCommit = e.position
		e.request.committed = e.position
	}
	return nil
}

// runPart sends a part of a request that the caller will end later.
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
		if err := reader.take(message); err != nil {
			conn.Close()
			return err
		}
	}
	e.request.batch.skipping = reader.failed
	e.request.answer.hold = false
	e.request.answer.flush()
	return nil
}

// forgetFailedParses drops the statements that the target didn't prepare.
func (r *request) forgetFailedParses(conn *rosepool.Conn) {
	for _, message := range r.batch.messages {
		m, isParse := message.(*pgproto3.Parse)
		if !isParse || m.Name == "" {
			continue
		}
		if p := r.caller.prepared[m.Name]; p != nil && !conn.HasPrepared(p.serverName) {
			delete(r.caller.prepared, m.Name)
		}
	}
}
