package roseload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/internal/rosestack"
)

const (
	// operationTimeout bounds one operation at the caller.
	operationTimeout = 15 * time.Second
	// roamShare is the share of operations before which a session moves.
	roamShare = 0.03
	// onceAttempts bounds the tries under one request identifier.
	onceAttempts = 4
	// retryPause separates a caller's own tries.
	retryPause = 100 * time.Millisecond
)

// session is one caller's session, which roams between proxies.
type session struct {
	run      *run
	random   *rand.Rand
	dialer   *rosenet.Dialer
	database string
	tenant   string
	name     string
	token    string
	conn     *pgconn.PgConn
}

// connected makes sure that there is a connection, to another proxy if the
// session roams now.
func (s *session) connected(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() && s.random.Float64() >= roamShare {
		return nil
	}
	s.hangUp()
	settings := map[string]string{}
	switch way := s.random.Float64(); {
	case s.name == "" || way < 0.1:
	case way < 0.35:
		settings["rosemary.session"] = s.name
	default:
		settings["rosemary.token"] = s.token
	}
	addresses := s.run.addresses()
	start := s.random.IntN(len(addresses))
	var err error
	for i := range addresses {
		s.conn, err = rosestack.Connect(ctx, s.dialer, addresses[(start+i)%len(addresses)], rosestack.CallerConfig{
			Tenant: s.tenant, Database: s.database, Settings: settings,
		})
		if err == nil {
			s.remember()
			return nil
		}
	}
	return err
}

// remember keeps what the session needs to go on elsewhere.
func (s *session) remember() {
	s.name = s.conn.ParameterStatus("rosemary.session")
	s.token = s.conn.ParameterStatus("rosemary.token")
}

func (s *session) hangUp() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// perform runs one operation that was due at sent.
func (s *session) perform(ctx context.Context, kind Kind, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	o := Operation{Tenant: s.tenant, Database: s.database, Kind: kind, Due: sent}
	if err := s.connected(ctx); err != nil {
		o.Class = s.run.mix.classOf(kind)
		o.Start, o.End = time.Now(), time.Now()
		o.Outcome, o.Error = OutcomeNotRun, err.Error()
		s.run.history.add(o)
		return
	}
	o.Session = s.name
	switch kind {
	case KindWrite:
		s.write(ctx, o)
	case KindInsert:
		s.once(ctx, o)
	case KindSwap:
		s.swap(ctx, o)
	default:
		s.read(ctx, o)
	}
}

func (m mix) classOf(kind Kind) string {
	switch kind {
	case KindWrite:
		return m.writeClass
	case KindInsert:
		return m.onceClass
	case KindSwap:
		return "default"
	}
	return m.readClass
}

// do sends a statement and fills in the operation's outcome.
func (s *session) do(ctx context.Context, o *Operation, query string) [][]string {
	o.Start = time.Now()
	rows, err := rosestack.Query(ctx, s.conn, query)
	o.End = time.Now()
	o.Outcome, o.Error = classify(err)
	if !s.conn.IsClosed() {
		s.remember()
	}
	return rows
}

// classify turns a driver's error into what the caller was told.
func classify(err error) (Outcome, string) {
	var answered *pgconn.PgError
	switch {
	case err == nil:
		return OutcomeAnswered, ""
	case errors.As(err, &answered) && answered.Code == "23505":
		return OutcomeDuplicate, err.Error()
	case errors.As(err, &answered) && answered.Detail == "outcome unknown":
		return OutcomeUnknown, err.Error()
	case errors.As(err, &answered) && answered.Detail == "not run":
		return OutcomeNotRun, err.Error()
	case errors.As(err, &answered):
		return OutcomeNotRun, err.Error()
	case pgconn.SafeToRetry(err):
		return OutcomeNotRun, err.Error()
	}
	return OutcomeUnknown, err.Error()
}

func (s *session) read(ctx context.Context, o Operation) {
	m := s.run.mix
	i := s.random.IntN(registers - listRows)
	if s.tenant == m.listTenant {
		o.Class, o.MaxAge = m.listClass, m.listAge
		s.finishRead(&o, s.do(ctx, &o, m.listSQL(i)), "", listRows)
		return
	}
	o.Class, o.MaxAge = m.readClass, m.readAge
	s.finishRead(&o, s.do(ctx, &o, m.readSQL(i)), m.key(i), 1)
}

func (s *session) finishRead(o *Operation, rows [][]string, key string, size int) {
	o.Key = key
	o.ReadValues = make(map[string]int64)
	for _, r := range rows {
		value, err := strconv.ParseInt(r[len(r)-1], 10, 64)
		if err != nil || len(r) != 2 {
			o.WrongAnswer = true
			continue
		}
		o.ReadValues[r[0]] = value
	}
	if o.Outcome == OutcomeAnswered {
		_, own := o.ReadValues[key]
		o.WrongAnswer = o.WrongAnswer || len(rows) != size || key != "" && !own
	}
	s.run.history.add(*o)
}

func (s *session) write(ctx context.Context, o Operation) {
	m := s.run.mix
	i := registers/2 + s.random.IntN(registers/2)
	o.Class, o.Key, o.Value = m.writeClass, m.key(i), s.run.nextValue()
	s.do(ctx, &o, fmt.Sprintf("%s /*class='%s'*/", m.writeSQL(i, o.Value), m.writeClass))
	s.run.history.add(o)
}

// once sends a request under an identifier, and sends it again after every
// answer that leaves its outcome open, as a careful caller would.
func (s *session) once(ctx context.Context, o Operation) {
	m := s.run.mix
	i := s.random.IntN(registers)
	o.Class, o.Key = m.onceClass, fmt.Sprintf("r%d", s.run.nextValue())
	for o.Attempt = 1; o.Attempt <= onceAttempts; o.Attempt++ {
		statement := m.onceSQL(fmt.Sprintf("%s:%d", o.Key, o.Attempt), i)
		s.do(ctx, &o, fmt.Sprintf("%s /*class='%s',request_id='%s'*/", statement, m.onceClass, o.Key))
		s.run.history.add(o)
		if o.Outcome == OutcomeAnswered || o.Outcome == OutcomeDuplicate || ctx.Err() != nil {
			return
		}
		time.Sleep(retryPause)
		if err := s.connected(ctx); err != nil {
			return
		}
		o.Session = s.name
	}
}

// swap reads and sets a register in one transaction, and marks the
// transaction with a row of its own.
func (s *session) swap(ctx context.Context, o Operation) {
	m := s.run.mix
	i := s.random.IntN(registers / 2)
	o.Class, o.Key, o.Value = "default", m.key(i), s.run.nextValue()
	o.ReadValues = make(map[string]int64)
	started := time.Now()
	steps := []string{
		"BEGIN",
		m.lockSQL(i),
		m.writeSQL(i, o.Value),
		m.onceSQL(fmt.Sprintf("tx-%d", o.Value), i),
		fmt.Sprintf("SELECT id, version FROM %s WHERE id = %s", m.table, m.quoted(i)),
		"COMMIT",
	}
	for n, step := range steps {
		rows := s.do(ctx, &o, step)
		o.Start = started
		if o.Outcome != OutcomeAnswered {
			if n < len(steps)-1 {
				o.Outcome = OutcomeNotRun
			}
			s.run.history.add(o)
			s.hangUp()
			return
		}
		s.noteSwap(&o, n, rows, m.key(i))
	}
	s.run.history.add(o)
}

// Steps of a swap whose rows are looked at.
const (
	swapStepLock  = 1
	swapStepCheck = 4
)

func (s *session) noteSwap(o *Operation, step int, rows [][]string, key string) {
	if step != swapStepLock && step != swapStepCheck {
		return
	}
	if len(rows) != 1 || len(rows[0]) != 2 || rows[0][0] != key {
		o.WrongAnswer = true
		return
	}
	value, err := strconv.ParseInt(rows[0][1], 10, 64)
	switch {
	case err != nil:
		o.WrongAnswer = true
	case step == swapStepLock:
		o.ReadValues[key] = value
	case value != o.Value:
		o.WrongAnswer = true
	}
}
