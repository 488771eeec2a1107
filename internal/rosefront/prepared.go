package rosefront

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepool"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// maxPreparedPerClient bounds the prepared statements of a session.
const maxPreparedPerClient = 1000

// preparedStatement is a statement that a client prepared through the extended
// query protocol. It belongs to the session: each target connection prepares it
// under targetName.
type preparedStatement struct {
	query         string
	parameterOIDs []uint32
	targetName    string
	script        rosestatement.Script
}

// targetNameBytes is the length of the hash in a statement's name at a target; PostgreSQL
// allows names of 63 characters.
const targetNameBytes = 24

func newPreparedStatement(m *pgproto3.Parse) *preparedStatement {
	p := &preparedStatement{query: m.Query, parameterOIDs: m.ParameterOIDs, script: rosestatement.Scan(m.Query)}
	if m.Name == "" {
		return p
	}
	content := binary.BigEndian.AppendUint64(nil, uint64(len(m.Query)))
	content = append(content, m.Query...)
	for _, oid := range m.ParameterOIDs {
		content = binary.BigEndian.AppendUint32(content, oid)
	}
	sum := sha256.Sum256(content)
	p.targetName = "rose_" + hex.EncodeToString(sum[:targetNameBytes])
	return p
}

// parse returns the message that prepares the statement at a target.
func (p *preparedStatement) parse() *pgproto3.Parse {
	return &pgproto3.Parse{Name: p.targetName, Query: p.query, ParameterOIDs: p.parameterOIDs}
}

// reply is the response to one message: one expected from the target, or one
// that the proxy sends itself.
type reply struct {
	// messageType is the type of the message that the reply answers.
	messageType byte
	// hidden replies answer messages that the proxy added.
	hidden bool
	// local is sent to the client without a message to the target.
	local pgproto3.BackendMessage
	// prepares is the name of the statement that the target has prepared once
	// the reply arrives.
	prepares string
}

// Values of reply.messageType.
const (
	messageParse    = 'P'
	messageBind     = 'B'
	messageDescribe = 'D'
	messageExecute  = 'E'
	messageClose    = 'C'
)

// translation is a batch rewritten for one connection.
type translation struct {
	messages []pgproto3.FrontendMessage
	replies  []reply
	// evicted is set when the batch closes a statement, perhaps one of another
	// session, to make room. If the batch fails, the target may not have closed
	// it.
	evicted bool
}

// translate rewrites an extended query batch for conn, which may have other
// statements prepared than the client has.
func (c *client) translate(b *batch, conn *rosepool.Conn) (*translation, error) {
	t := &translation{}
	if len(c.prepared) > maxPreparedPerClient {
		return nil, refuse(rosemary.KindOverloaded, "the session has too many prepared statements", "close unused statements")
	}
	for _, message := range b.messages {
		switch m := message.(type) {
		case *pgproto3.Parse:
			c.translateParse(t, m, conn)
		case *pgproto3.Bind:
			bind := *m
			bind.PreparedStatement = c.ensurePrepared(t, m.PreparedStatement, conn)
			t.add(&bind, reply{messageType: messageBind})
		case *pgproto3.Describe:
			describe := *m
			if m.ObjectType == 'S' {
				describe.Name = c.ensurePrepared(t, m.Name, conn)
			}
			t.add(&describe, reply{messageType: messageDescribe})
		case *pgproto3.Execute:
			t.add(m, reply{messageType: messageExecute})
		case *pgproto3.Close:
			c.translateClose(t, m)
		default:
			t.messages = append(t.messages, message)
		}
	}
	return t, nil
}

func (t *translation) add(message pgproto3.FrontendMessage, r reply) {
	t.messages = append(t.messages, message)
	t.replies = append(t.replies, r)
}

func (c *client) translateParse(t *translation, m *pgproto3.Parse, conn *rosepool.Conn) {
	p := c.prepared[m.Name]
	if m.Name == "" {
		c.unnamedConn = conn
		t.add(p.parse(), reply{messageType: messageParse})
		return
	}
	if conn.HasPrepared(p.targetName) || t.prepares(p.targetName) {
		t.replies = append(t.replies, reply{local: &pgproto3.ParseComplete{}})
		return
	}
	t.evict(conn)
	t.add(p.parse(), reply{messageType: messageParse, prepares: p.targetName})
}

// ensurePrepared prepares a statement on conn if needed and returns its name
// there.
func (c *client) ensurePrepared(t *translation, name string, conn *rosepool.Conn) string {
	p := c.prepared[name]
	switch {
	case p == nil:
		return name
	case name == "" && c.unnamedConn != conn:
		c.unnamedConn = conn
		t.add(p.parse(), reply{messageType: messageParse, hidden: true})
	case name != "" && !conn.HasPrepared(p.targetName) && !t.prepares(p.targetName):
		t.evict(conn)
		t.add(p.parse(), reply{messageType: messageParse, hidden: true, prepares: p.targetName})
	}
	return p.targetName
}

func (t *translation) prepares(name string) bool {
	return slices.ContainsFunc(t.replies, func(r reply) bool { return r.prepares == name })
}

// evict closes the oldest statement of a connection that has too many.
func (t *translation) evict(conn *rosepool.Conn) {
	oldest := conn.PreparedToEvict()
	if oldest == "" {
		return
	}
	conn.RemovePrepared(oldest)
	t.evicted = true
	t.add(&pgproto3.Close{ObjectType: 'S', Name: oldest}, reply{messageType: messageClose, hidden: true})
}

func (c *client) translateClose(t *translation, m *pgproto3.Close) {
	if m.ObjectType != 'S' {
		t.add(m, reply{messageType: messageClose})
		return
	}
	delete(c.prepared, m.Name)
	t.replies = append(t.replies, reply{local: &pgproto3.CloseComplete{}})
}

// quoteLiteral returns text as an SQL string literal.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
