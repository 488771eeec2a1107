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

// Object identifiers of the types that the stand-in knows.
const (
	oidInt8 = 20
	oidText = 25
)

// maxMessageBytes bounds one message from a client.
const maxMessageBytes = 16 << 20

// session serves one connection.
type session struct {
	target      *Target
	run         *run
	conn        net.Conn
	backend     *pgproto3.Backend
	pid         uint32
	statements  map[string]*prepared
	portals     map[string]*portal
	transaction *transaction
	committed   position
	skipping    bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

type prepared struct {
	statements []*statement
	paramOIDs  []uint32
}

type portal struct {
	prepared *prepared
	params   []value
	formats  []int16
}

func (t *Target) serve(r *run, conn net.Conn) {
	defer conn.Close()
	s := &session{
		target:     t,
		run:        r,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		statements: make(map[string]*prepared),
		portals:    make(map[string]*portal),
	}
	s.backend.SetMaxBodyLen(maxMessageBytes)
	if !s.startup() {
		return
	}
	defer t.leave(r, s)
	s.loop()
	if s.transaction != nil {
		s.transaction.rollback()
	}
}

// startup answers the handshake. It reports false when the session is over.
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
			return s.welcome()
		}
	}
}

func (s *session) welcome() bool {
	if !roseclock.Sleep(s.run.ctx, s.target.config.ConnectTime) {
		return false
	}
	if !s.target.enter(s.run, s) {
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
	s.ready()
	return s.flush()
}

func (s *session) flush() bool {
	return s.backend.Flush() == nil
}

func (s *session) ready() {
	status := byte('I')
	if x := s.transaction; x != nil {
		status = 'T'
		if x.failed {
			status = 'E'
		}
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

func (s *session) loop() {
	for {
		message, err := s.backend.Receive()
		if err != nil || !s.handle(message) {
			return
		}
	}
}

// handle answers one message. It reports false when the session is over.
func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		s.ready()
		return s.flush()
	case *pgproto3.Sync:
		if err := s.endImplicit(); err != nil {
			s.fail(err)
		}
		s.skipping = false
		s.ready()
		return s.flush()
	case *pgproto3.Flush:
		return s.flush()
	}
	if s.skipping {
		return true
	}
	if err := s.extended(message); err != nil {
		s.fail(err)
		s.skipping = true
	}
	return true
}

// fail sends an error and marks the transaction.
func (s *session) fail(err error) {
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		sqlErr = newError("XX000", "%v", err)
	}
	if x := s.transaction; x != nil {
		if x.explicit {
			x.failed = true
		} else {
			x.rollback()
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
			err = s.endImplicit()
		}
		if err != nil {
			s.fail(err)
			return
		}
		if r.columns != nil {
			s.backend.Send(describeColumns(r.columns, nil))
		}
		s.sendRows(r, nil)
	}
}

// endImplicit commits the transaction of statements outside BEGIN.
func (s *session) endImplicit() error {
	x := s.transaction
	if x == nil || x.explicit {
		return nil
	}
	s.transaction = nil
	committed, err := x.commit()
	if err != nil {
		return err
	}
	s.noteCommit(committed)
	return nil
}

func (s *session) noteCommit(p position) {
	if !p.IsZero() {
		s.committed = p
	}
}

// execute runs one statement in the session's transaction.
func (s *session) execute(st *statement, params []value) (*result, error) {
	if x := s.transaction; x != nil && x.failed && st.verb != "rollback" && st.verb != "commit" {
		return nil, newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch st.verb {
	case "begin":
		return s.beginBlock(), nil
	case "commit", "rollback":
		return s.endBlock(st.verb)
	case "show":
		return s.show(st)
	case "set", "reset", "discard", "deallocate":
		return &result{tag: strings.ToUpper(st.verb)}, nil
	}
	if s.transaction == nil {
		s.transaction = s.target.begin(false)
	}
	ctx, done := s.statementContext()
	defer done()
	if st.function != "" {
		args := make([]value, len(st.args))
		for i, e := range st.args {
			v, err := evaluator{params: params}.value(e)
			if err != nil {
				return nil, err
			}
			args[i] = v
		}
		return s.callFunction(ctx, st, args)
	}
	return s.inSlot(ctx, st, params)
}

// inSlot runs a statement while it holds one of the target's slots.
func (s *session) inSlot(ctx context.Context, st *statement, params []value) (*result, error) {
	select {
	case s.target.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, newError("57014", "canceling statement due to user request")
	}
	s.target.noteStatement()
	finished := roseclock.Sleep(ctx, s.target.cost(st))
	<-s.target.slots
	if !finished {
		return nil, newError("57014", "canceling statement due to user request")
	}
	return s.transaction.run(ctx, st, params)
}

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

// cancelStatement stops the statement that runs now, if any.
func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *session) beginBlock() *result {
	switch x := s.transaction; {
	case x == nil:
		s.transaction = s.target.begin(true)
	default:
		x.explicit = true
	}
	return &result{tag: "BEGIN"}
}

func (s *session) endBlock(verb string) (*result, error) {
	x := s.transaction
	s.transaction = nil
	if x == nil {
		return &result{tag: strings.ToUpper(verb)}, nil
	}
	if verb == "rollback" || x.failed {
		x.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	committed, err := x.commit()
	if err != nil {
		return nil, err
	}
	s.noteCommit(committed)
	return &result{tag: "COMMIT"}, nil
}

func (s *session) show(st *statement) (*result, error) {
	switch st.name {
	case "transaction":
		return oneColumn("transaction_isolation", false, "read committed"), nil
	case "server_version":
		return oneColumn(st.name, false, serverVersion), nil
	}
	return oneColumn(st.name, false, "on"), nil
}

// cost is how long a statement holds its slot.
func (t *Target) cost(st *statement) time.Duration {
	if st.verb != "select" {
		return t.config.WriteTime
	}
	for _, c := range st.where {
		if c.operator == "=" {
			return t.config.ReadTime
		}
	}
	return max(t.config.ScanTime, t.config.ReadTime)
}
