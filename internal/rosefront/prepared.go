package rosefront

import (
	"crypto/sha256"
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
// under serverName.
type preparedStatement struct {
	query         string
	parameterOIDs []uint32
	serverName    string
	script        rosestatement.Script
}

func newPreparedStatement(m *pgproto3.Parse) *preparedStatement {
	p := &preparedStatement{query: m.Query, parameterOIDs: m.ParameterOIDs, script: rosestatement.Scan(m.Query)}
	if m.Name == "" {
		return p
	}
	hash := sha256.New()
	hash.Write([]byte(m.Query))
	for _, oid := range m.ParameterOIDs {
		hash.Write([]byte{byte(oid >> 24), byte(oid >> 16), byte(oid >> 8), byte(oid)})
	}
	p.serverName = "rose_" + hex.EncodeToString(hash.Sum(nil)[:12])
	return p
}

// parse returns the message that prepares the statement at a target.
func (p *preparedStatement) parse() *pgproto3.Parse {
	return &pgproto3.Parse{Name: p.serverName, Query: p.query, ParameterOIDs: p.parameterOIDs}
}

// reply is a response expected from the target, or one that the proxy sends
// itself.
type reply struct {
	// requestType is the type of the message that the reply answers.
	requestType byte
	// hidden replies answer messages that the proxy added.
	hidden bool
	// local is sent to the client without a message to the target.
	local pgproto3.BackendMessage
	// prepares is the name of the statement that is prepared once the reply
	// arrives.
	prepares string
}

// Message types for requestType.
const (
	replyParse    = 'P'
	replyBind     = 'B'
	replyDescribe = 'D'
	replyExecute  = 'E'
	replyClose    = 'C'
)

// translation is a batch rewritten for one connection.
type translation struct {
	messages []pgproto3.FrontendMessage
	replies  []reply
	// evicted is set when the batch closes a statement that another session
	// may have prepared, to make room.
	evicted bool
}

// translate rewrites an extended query batch for conn, whose prepared
// statements differ from those of the client.
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
			t.add(&bind, reply{requestType: replyBind})
		case *pgproto3.Describe:
			describe := *m
			if m.ObjectType == 'S' {
				describe.Name = c.ensurePrepared(t, m.Name, conn)
			}
			t.add(&describe, reply{requestType: replyDescribe})
		case *pgproto3.Execute:
			t.add(m, reply{requestType: replyExecute})
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
		t.add(p.parse(), reply{requestType: replyParse})
		return
	}
	if conn.HasPrepared(p.serverName) || t.prepares(p.serverName) {
		t.replies = append(t.replies, reply{local: &pgproto3.ParseComplete{}})
		return
	}
	t.evict(conn)
	t.add(p.parse(), reply{requestType: replyParse, prepares: p.serverName})
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
		t.add(p.parse(), reply{requestType: replyParse, hidden: true})
	case name != "" && !conn.HasPrepared(p.serverName) && !t.prepares(p.serverName):
		t.evict(conn)
		t.add(p.parse(), reply{requestType: replyParse, hidden: true, prepares: p.serverName})
	}
	return p.serverName
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
	t.add(&pgproto3.Close{ObjectType: 'S', Name: oldest}, reply{requestType: replyClose, hidden: true})
}

func (c *client) translateClose(t *translation, m *pgproto3.Close) {
	if m.ObjectType != 'S' {
		t.add(m, reply{requestType: replyClose})
		return
	}
	delete(c.prepared, m.Name)
	t.replies = append(t.replies, reply{local: &pgproto3.CloseComplete{}})
}

// quoteLiteral returns text as an SQL string literal.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
