package rosetarget

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
)

const serverVersion = "15.0"

// PostgreSQL's OIDs of the supported types.
const (
	oidInt8 = 20
	oidText = 25
)

// maxMessageBytes limits the size of a message from a client.
const maxMessageBytes = 16 << 20

// session serves one connection.
type session struct {
	target          *Target
	run             *serverRun
	conn            net.Conn
	backend         *pgproto3.Backend
	pid             uint32
	statements      map[string]*preparedStatement
	portals         map[string]*portal
	transaction     *transaction
	lastCommit      position
	ignoreUntilSync bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

// preparedStatement is a statement named by a Parse message. An empty query has
// no statements, any other has one.
type preparedStatement struct {
	statements []*statement
	paramOIDs  []uint32
}

type portal struct {
	prepared *preparedStatement
	params   []value
	formats  []int16
}

func (t *Target) serve(r *serverRun, conn net.Conn) {
	defer conn.Close()
	s := &session{
		target:     t,
		run:        r,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		statements: make(map[string]*preparedStatement),
		portals:    make(map[string]*portal),
	}
	s.backend.SetMaxBodyLen(maxMessageBytes)
	if !s.startup() {
		return
	}
	defer t.removeSession(r, s)
	s.handleMessages()
	if s.transaction != nil {
		s.transaction.rollback()
	}
}

// startup handles the handshake. It reports false if the connection ends.
func (s *session) startup() bool {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.target.cancelRequest(s.run, m.ProcessID)
			return false
		case *pgproto3.StartupMessage:
			return s.openSession()
		}
	}
}

func (s *session) openSession() bool {
	if !roseclock.Sleep(s.run.ctx, s.target.config.ConnectTime) {
		return false
	}
	if !s.target.addSession(s.run, s) {
		s.backend.Send(newError("53300", "sorry, too many clients already").response())
		s.flush()
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	} {
		s.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.pid)})
	s.sendReadyForQuery()
	return s.flush()
}

func (s *session) flush() bool {
	return s.backend.Flush() == nil
}

func (s *session) sendReadyForQuery() {
	status := byte('I')
	if tx := s.transaction; tx != nil {
		status = 'T'
		if tx.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (s *session) handleMessages() {
	for {
		message, err := s.backend.Receive()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

// handle processes one message. It reports false when the session ends.
func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		s.sendReadyForQuery()
		return s.flush()
	case *pgproto3.Sync:
		if err := s.commitImplicit(); err != nil {
			s.fail(err)
		}
		s.ignoreUntilSync = false
		s.sendReadyForQuery()
		return s.flush()
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.ignoreUntilSync {
		return true
	}
	if err := s.extendedQuery(message); err != nil {
		s.fail(err)
		s.ignoreUntilSync = true
	}
	return true
}

// fail sends an error. It marks an explicit transaction as failed and rolls back
// an implicit one.
func (s *session) fail(err error) {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		sqlErr = newError("XX000", "%v", err)
	}
	if tx := s.transaction; tx != nil {
		if tx.explicit {
			tx.failed = true
		} else {
			tx.rollback()
			s.transaction = nil
		}
	}
	s.backend.Send(sqlErr.response())
}

func (s *session) simpleQuery(query string) {
	statements, err := parse(query)
	if err != nil {
		s.fail(err)
		return
	}
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range statements {
		r, err := s.execute(st, nil)
		if err == nil && i == len(statements)-1 {
			err = s.commitImplicit()
		}
		if err != nil {
			s.fail(err)
			return
		}
		if r.columns != nil {
			s.backend.Send(rowDescription(r.columns, nil))
		}
		s.sendRows(r, nil)
	}
}

// commitImplicit commits the transaction of statements outside a BEGIN block.
func (s *session) commitImplicit() error {
	tx := s.transaction
	if tx == nil || tx.explicit {
		return nil
	}
	s.transaction = nil
	committed, err := tx.commit()
	if err != nil {
		return err
	}
	s.recordCommit(committed)
	return nil
}

func (s *session) recordCommit(p position) {
	if !p.IsZero() {
		s.lastCommit = p
	}
}

// execute runs one statement in the session's transaction.
func (s *session) execute(st *statement, params []value) (*result, error) {
	if tx := s.transaction; tx != nil && tx.failed && st.command != "rollback" && st.command != "commit" {
		return nil, newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch st.command {
	case "begin":
		return s.beginBlock(), nil
	case "commit", "rollback":
		return s.endBlock(st.command)
	case "show":
		return s.show(st)
	case "set", "reset", "discard", "deallocate":
		// These have no effect.
		return &result{tag: strings.ToUpper(st.command)}, nil
	}
	if s.transaction == nil {
		s.transaction = s.target.begin(false)
	}
	ctx, done := s.statementContext()
	defer done()
	if st.function != "" {
		args := make([]value, len(st.args))
		for i, e := range st.args {
			v, err := evaluator{params: params}.evaluate(e)
			if err != nil {
				return nil, err
			}
			args[i] = v
		}
		return s.callFunction(ctx, st, args)
	}
	return s.executeInSlot(ctx, st, params)
}

// executeInSlot acquires one of the target's slots, holds it for the statement's
// service time, releases it and then runs the statement.
func (s *session) executeInSlot(ctx context.Context, st *statement, params []value) (*result, error) {
	select {
	case s.target.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, newError("57014", "canceling statement due to user request")
	}
	s.target.recordStatement()
	finished := roseclock.Sleep(ctx, s.target.serviceTime(st))
	<-s.target.slots
	if !finished {
		return nil, newError("57014", "canceling statement due to user request")
	}
	return s.transaction.execute(ctx, st, params)
}

// statementContext returns a context that cancelStatement cancels, and a function
// to call when the statement has ended.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.run.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}

// cancelStatement cancels the running statement, if any.
func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *session) beginBlock() *result {
	switch tx := s.transaction; {
	case tx == nil:
		s.transaction = s.target.begin(true)
	default:
		tx.explicit = true
	}
	return &result{tag: "BEGIN"}
}

func (s *session) endBlock(command string) (*result, error) {
	tx := s.transaction
	s.transaction = nil
	if tx == nil {
		return &result{tag: strings.ToUpper(command)}, nil
	}
	if command == "rollback" || tx.failed {
		tx.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	committed, err := tx.commit()
	if err != nil {
		return nil, err
	}
	s.recordCommit(committed)
	return &result{tag: "COMMIT"}, nil
}

func (s *session) show(st *statement) (*result, error) {
	switch st.settingName {
	case "transaction":
		return singleValue("transaction_isolation", false, "read committed"), nil
	case "server_version":
		return singleValue(st.settingName, false, serverVersion), nil
	}
	return singleValue(st.settingName, false, "on"), nil
}

// serviceTime returns how long a statement holds its slot.
func (t *Target) serviceTime(st *statement) time.Duration {
	if st.command != "select" {
		return t.config.WriteTime
	}
	for _, c := range st.where {
		if c.operator == "=" {
			return t.config.ReadTime
		}
	}
	return max(t.config.ScanTime, t.config.ReadTime)
}
