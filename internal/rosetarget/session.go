package rosetarget

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"strconv"
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

func (s *session) extended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parseMessage(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return newError("08P01", "unexpected message %T", message)
}

func (s *session) parseMessage(m *pgproto3.Parse) error {
	statements, err := parse(m.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return newError("42601", "cannot insert multiple commands into a prepared statement")
	}
	if s.statements[m.Name] != nil && m.Name != "" {
		return newError("42P05", "prepared statement %q already exists", m.Name)
	}
	p := &prepared{statements: statements}
	if len(statements) == 1 {
		p.paramOIDs = s.paramTypes(statements[0], m.ParameterOIDs)
	}
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return newError("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	params := make([]value, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decodeParam(raw, format(m.ParameterFormatCodes, i), oidAt(p.paramOIDs, i))
		if err != nil {
			return err
		}
		params[i] = v
	}
	s.portals[m.DestinationPortal] = &portal{prepared: p, params: params, formats: append([]int16(nil), m.ResultFormatCodes...)}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	var p *prepared
	var formats []int16
	if m.ObjectType == 'S' {
		if p = s.statements[m.Name]; p == nil {
			return newError("26000", "prepared statement %q does not exist", m.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.paramOIDs})
	} else {
		found := s.portals[m.Name]
		if found == nil {
			return newError("34000", "portal %q does not exist", m.Name)
		}
		p, formats = found.prepared, found.formats
	}
	columns, err := s.resultColumns(p)
	if err != nil {
		return err
	}
	if columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(describeColumns(columns, formats))
	return nil
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.portals[m.Portal]
	if p == nil {
		return newError("34000", "portal %q does not exist", m.Portal)
	}
	if len(p.prepared.statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := s.execute(p.prepared.statements[0], p.params)
	if err != nil {
		return err
	}
	s.sendRows(r, p.formats)
	return nil
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

func (s *session) sendRows(r *result, formats []int16) {
	for _, fields := range r.rows {
		values := make([][]byte, len(fields))
		for i, v := range fields {
			values[i] = encodeField(v, r.columns[i], format(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

func describeColumns(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.Name),
			DataTypeOID:  c.oid(),
			DataTypeSize: c.size(),
			TypeModifier: -1,
			Format:       format(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func (c column) oid() uint32 {
	if c.Number {
		return oidInt8
	}
	return oidText
}

func (c column) size() int16 {
	if c.Number {
		return 8
	}
	return -1
}

func format(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func oidAt(oids []uint32, i int) uint32 {
	if i < len(oids) {
		return oids[i]
	}
	return oidText
}

func decodeParam(raw []byte, format int16, oid uint32) (value, error) {
	if raw == nil {
		return value{Null: true}, nil
	}
	if format == 0 || oid == oidText {
		return value{Text: string(raw)}, nil
	}
	switch len(raw) {
	case 8:
		return value{Text: strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10)}, nil
	case 4:
		return value{Text: strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10)}, nil
	}
	return value{}, newError("22P03", "incorrect binary data format in bind parameter")
}

func encodeField(v value, c column, format int16) []byte {
	if v.Null {
		return nil
	}
	if format == 1 && c.Number {
		number, _ := strconv.ParseInt(v.Text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(number))
	}
	return []byte(v.Text)
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
	return max(t.config.ListTime, t.config.ReadTime)
}
