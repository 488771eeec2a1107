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

// maxPreparedPerCaller bounds the statements that a caller has prepared.
const maxPreparedPerCaller = 1000

// preparedStatement is a statement that a caller prepared by the protocol. It
// follows the session: each target connection prepares it under serverName.
type preparedStatement struct {
	query      string
	oids       []uint32
	serverName string
	script     rosestatement.Script
}

func newPreparedStatement(m *pgproto3.Parse) *preparedStatement {
	p := &preparedStatement{query: m.Query, oids: m.ParameterOIDs, script: rosestatement.Scan(m.Query)}
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
	return &pgproto3.Parse{Name: p.serverName, Query: p.query, ParameterOIDs: p.oids}
}

// reply is an answer that is expected from the target, or made here.
type reply struct {
	// request is the type of the message that is answered.
	request byte
	// hidden answers belong to messages that the proxy added.
	hidden bool
	// local is sent in place of an answer of the target.
	local pgproto3.BackendMessage
	// prepares names the statement that the answer is about.
	prepares string
}

// Types of messages in reply.
const (
	replyParse    = 'P'
	replyBind     = 'B'
	replyDescribe = 'D'
	replyExecute  = 'E'
	replyClose    = 'C'
)

// translation is a batch as it goes to one connection.
type translation struct {
	messages []pgproto3.FrontendMessage
	replies  []reply
	// evicts is set when the batch closes statements of other sessions.
	evicts bool
}

// translate rewrites an extended batch for conn, whose prepared statements
// differ from those that the caller knows.
func (c *caller) translate(b *batch, conn *rosepool.Conn) (*translation, error) {
	t := &translation{}
	if len(c.prepared) > maxPreparedPerCaller {
		return nil, refuse(rosemary.KindOverloaded, "the session has too many prepared statements", "close those that aren't used")
	}
	for _, message := range b.messages {
		switch m := message.(type) {
		case *pgproto3.Parse:
			c.translateParse(t, m, conn)
		case *pgproto3.Bind:
			bind := *m
			bind.PreparedStatement = c.ensure(t, m.PreparedStatement, conn)
			t.add(&bind, reply{request: replyBind})
		case *pgproto3.Describe:
			describe := *m
			if m.ObjectType == 'S' {
				describe.Name = c.ensure(t, m.Name, conn)
			}
			t.add(&describe, reply{request: replyDescribe})
		case *pgproto3.Execute:
			t.add(m, reply{request: replyExecute})
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

func (c *caller) translateParse(t *translation, m *pgproto3.Parse, conn *rosepool.Conn) {
	p := c.prepared[m.Name]
	if m.Name == "" {
		c.unnamedOn = conn
		t.add(p.parse(), reply{request: replyParse})
		return
	}
	if conn.HasPrepared(p.serverName) || t.prepares(p.serverName) {
		t.replies = append(t.replies, reply{local: &pgproto3.ParseComplete{}})
		return
	}
	t.evict(conn)
	t.add(p.parse(), reply{request: replyParse, prepares: p.serverName})
}

// ensure makes a statement known on conn and returns its name there.
func (c *caller) ensure(t *translation, name string, conn *rosepool.Conn) string {
	p := c.prepared[name]
	switch {
	case p == nil:
		return name
	case name == "" && c.unnamedOn != conn:
		c.unnamedOn = conn
		t.add(p.parse(), reply{request: replyParse, hidden: true})
	case name != "" && !conn.HasPrepared(p.serverName) && !t.prepares(p.serverName):
		t.evict(conn)
		t.add(p.parse(), reply{request: replyParse, hidden: true, prepares: p.serverName})
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
	t.evicts = true
	t.add(&pgproto3.Close{ObjectType: 'S', Name: oldest}, reply{request: replyClose, hidden: true})
}

func (c *caller) translateClose(t *translation, m *pgproto3.Close) {
	if m.ObjectType != 'S' {
		t.add(m, reply{request: replyClose})
		return
	}
	delete(c.prepared, m.Name)
	t.replies = append(t.replies, reply{local: &pgproto3.CloseComplete{}})
}

// literal quotes text for SQL.
func literal(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
