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
	// operationTimeout bounds a request of the client, including its retries.
	operationTimeout = 15 * time.Second
	// reconnectProbability is the probability that a session reconnects before
	// an operation.
	reconnectProbability = 0.03
	// maxInsertAttempts bounds the attempts with one request identifier.
	maxInsertAttempts = 4
	// retryDelay is the delay before each retry by the client.
	retryDelay = 100 * time.Millisecond
)

// session is a client's session, which moves between proxies.
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

// ensureConnected opens a connection if none is open, and with
// reconnectProbability replaces an open one. It tries all proxies, starting with
// a random one. The connection resumes the session by its token or its name, or
// starts another session.
func (s *session) ensureConnected(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() && s.random.Float64() >= reconnectProbability {
		return nil
	}
	s.disconnect()
	settings := map[string]string{}
	switch choice := s.random.Float64(); {
	case s.name == "" || choice < 0.1:
	case choice < 0.35:
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
			s.saveSessionState()
			return nil
		}
	}
	return err
}

// saveSessionState saves the session's name and token, to resume the session on
// another proxy.
func (s *session) saveSessionState() {
	s.name = s.conn.ParameterStatus("rosemary.session")
	s.token = s.conn.ParameterStatus("rosemary.token")
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// perform runs one request and adds each of its attempts to the history.
func (s *session) perform(ctx context.Context, kind Kind, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	o := Operation{Tenant: s.tenant, Database: s.database, Kind: kind, Due: due}
	if err := s.ensureConnected(ctx); err != nil {
		o.Class = s.run.mix.classFor(kind)
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
		s.insert(ctx, o)
	case KindSwap:
		s.swap(ctx, o)
	default:
		s.read(ctx, o)
	}
}

func (m mix) classFor(kind Kind) string {
	switch kind {
	case KindWrite:
		return m.writeClass
	case KindInsert:
		return m.insertClass
	case KindSwap:
		return "default"
	}
	return m.readClass
}

// execute runs a statement and sets the times and the outcome of o.
func (s *session) execute(ctx context.Context, o *Operation, query string) [][]string {
	o.Start = time.Now()
	rows, err := rosestack.Query(ctx, s.conn, query)
	o.End = time.Now()
	o.Outcome, o.Error = classify(err)
	if !s.conn.IsClosed() {
		s.saveSessionState()
	}
	return rows
}

// classify returns the outcome that an error of the driver reports, and the
// error's text. An error that a target returned has no outcome and counts as not
// run, as its statement failed.
func classify(err error) (Outcome, string) {
	var serverError *pgconn.PgError
	switch {
	case err == nil:
		return OutcomeAnswered, ""
	case errors.As(err, &serverError) && serverError.Code == "23505":
		return OutcomeDuplicate, err.Error()
	case errors.As(err, &serverError) && serverError.Detail == "outcome unknown":
		return OutcomeUnknown, err.Error()
	case errors.As(err, &serverError) && serverError.Detail == "not run":
		return OutcomeNotRun, err.Error()
	case errors.As(err, &serverError):
		return OutcomeNotRun, err.Error()
	case pgconn.SafeToRetry(err):
		return OutcomeNotRun, err.Error()
	}
	return OutcomeUnknown, err.Error()
}

func (s *session) read(ctx context.Context, o Operation) {
	m := s.run.mix
	i := s.random.IntN(registerCount - scanRows)
	if s.tenant == m.scanTenant {
		o.Class, o.MaxAge = m.scanClass, m.scanMaxAge
		s.recordRead(&o, s.execute(ctx, &o, m.scanSQL(i)), "", scanRows)
		return
	}
	o.Class, o.MaxAge = m.readClass, m.readMaxAge
	s.recordRead(&o, s.execute(ctx, &o, m.readSQL(i)), m.key(i), 1)
}

// recordRead adds a read to the history. Key is empty for a scan.
func (s *session) recordRead(o *Operation, rows [][]string, key string, wantRows int) {
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
		_, found := o.ReadValues[key]
		o.WrongAnswer = o.WrongAnswer || len(rows) != wantRows || key != "" && !found
	}
	s.run.history.add(*o)
}

func (s *session) write(ctx context.Context, o Operation) {
	m := s.run.mix
	i := registerCount/2 + s.random.IntN(registerCount/2)
	o.Class, o.Key, o.Value = m.writeClass, m.key(i), s.run.nextValue()
	s.execute(ctx, &o, fmt.Sprintf("%s /*class='%s'*/", m.writeSQL(i, o.Value), m.writeClass))
	s.run.history.add(o)
}

// insert sends a request with a request identifier. It retries the request with
// the same identifier until it is answered or refused as a duplicate, making at
// most maxInsertAttempts attempts.
func (s *session) insert(ctx context.Context, o Operation) {
	m := s.run.mix
	i := s.random.IntN(registerCount)
	o.Class, o.Key = m.insertClass, fmt.Sprintf("r%d", s.run.nextValue())
	for o.Attempt = 1; o.Attempt <= maxInsertAttempts; o.Attempt++ {
		statement := m.insertSQL(fmt.Sprintf("%s:%d", o.Key, o.Attempt), i)
		s.execute(ctx, &o, fmt.Sprintf("%s /*class='%s',request_id='%s'*/", statement, m.insertClass, o.Key))
		s.run.history.add(o)
		if o.Outcome == OutcomeAnswered || o.Outcome == OutcomeDuplicate || ctx.Err() != nil {
			return
		}
		time.Sleep(retryDelay)
		if err := s.ensureConnected(ctx); err != nil {
			return
		}
		o.Session = s.name
	}
}

// swap reads and sets a register in one transaction. The transaction also
// inserts a marker row, by which the check detects partly applied transactions.
func (s *session) swap(ctx context.Context, o Operation) {
	m := s.run.mix
	i := s.random.IntN(registerCount / 2)
	o.Class, o.Key, o.Value = "default", m.key(i), s.run.nextValue()
	o.ReadValues = make(map[string]int64)
	started := time.Now()
	steps := []string{
		"BEGIN",
		m.lockSQL(i),
		m.writeSQL(i, o.Value),
		m.insertSQL(fmt.Sprintf("tx-%d", o.Value), i),
		fmt.Sprintf("SELECT id, version FROM %s WHERE id = %s", m.table, m.quotedKey(i)),
		"COMMIT",
	}
	for n, step := range steps {
		rows := s.execute(ctx, &o, step)
		o.Start = started
		if o.Outcome != OutcomeAnswered {
			// Without a COMMIT, the transaction has no effect.
			if n < len(steps)-1 {
				o.Outcome = OutcomeNotRun
			}
			s.run.history.add(o)
			s.disconnect()
			return
		}
		s.checkSwapStep(&o, n, rows, m.key(i))
	}
	s.run.history.add(o)
}

// Indexes of the steps of a swap whose rows are checked.
const (
	swapStepLock  = 1
	swapStepCheck = 4
)

func (s *session) checkSwapStep(o *Operation, step int, rows [][]string, key string) {
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
