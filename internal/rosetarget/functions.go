package rosetarget

import (
	"context"
	"strconv"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// statusColumns are the columns of the functions that return a status.
var statusColumns = []column{
	{Name: "target"},
	{Name: "term", Integer: true},
	{Name: "position"},
	{Name: "role"},
	{Name: "primary"},
	{Name: "history"},
	{Name: "leaving"},
	{Name: "streaming"},
}

func statusResult(s rosemary.Status) *result {
	r := row{
		{Text: string(s.Target)},
		{Text: strconv.FormatUint(s.Term, 10)},
		{Text: s.Position.String()},
		{Text: string(s.Role)},
		{Text: string(s.Primary)},
		{Text: s.History.String()},
		{Text: strconv.FormatBool(s.Leaving)},
		{Text: strconv.FormatBool(s.Streaming)},
	}
	return &result{columns: statusColumns, rows: []row{r}, tag: "SELECT 1"}
}

func singleValue(name string, integer bool, text string) *result {
	return &result{columns: []column{{Name: name, Integer: integer}}, rows: []row{{{Text: text}}}, tag: "SELECT 1"}
}

// functionColumns returns the columns of a function's result without calling it.
func functionColumns(name string) ([]column, error) {
	switch name {
	case "rosemary.status", "rosemary.watch", "rosemary.fence", "rosemary.promote", "rosemary.follow":
		return statusColumns, nil
	case "rosemary.position", "rosemary.claim", "rosemary.outcome":
		return []column{{Name: name}}, nil
	case "pg_sleep", "version", "current_schema":
		return []column{{Name: name}}, nil
	}
	return nil, newError("42883", "function %s does not exist", name)
}

// callFunction calls a built-in function.
func (s *session) callFunction(ctx context.Context, st *statement, args []value) (*result, error) {
	t := s.target
	argument := func(i int) string {
		if i < len(args) {
			return args[i].Text
		}
		return ""
	}
	uintArgument := func(i int) uint64 {
		n, _ := strconv.ParseUint(argument(i), 10, 64)
		return n
	}
	switch st.function {
	case "rosemary.status":
		return statusResult(t.Status()), nil
	case "rosemary.watch":
		roseclock.Sleep(ctx, t.nextWatchDelay())
		status := t.watch(ctx, argument(0), time.Duration(uintArgument(1))*time.Millisecond)
		result := statusResult(status)
		if status.Fingerprint() == argument(0) {
			// No row means that the status hasn't changed.
			result.rows, result.tag = nil, "SELECT 0"
		}
		return result, nil
	case "rosemary.fence":
		return statusOrError(t.fence(uintArgument(0), argument(1)))
	case "rosemary.promote":
		return statusOrError(t.promote(uintArgument(0)))
	case "rosemary.follow":
		return statusOrError(t.followPrimary(rosemary.TargetID(argument(0)), uintArgument(1)))
	case "rosemary.position":
		return singleValue("position", false, s.lastCommit.String()), nil
	case "rosemary.claim":
		return s.claim(ctx, argument(0))
	case "rosemary.outcome":
		return s.outcome(ctx, argument(0))
	case "pg_sleep":
		seconds, _ := strconv.ParseFloat(argument(0), 64)
		if !roseclock.Sleep(ctx, time.Duration(seconds*float64(time.Second))) {
			return nil, newError("57014", "canceling statement due to user request")
		}
		return singleValue("pg_sleep", false, ""), nil
	case "version":
		return singleValue("version", false, serverVersion), nil
	case "current_schema":
		return singleValue("current_schema", false, "public"), nil
	}
	_, err := functionColumns(st.function)
	return nil, err
}

func statusOrError(s rosemary.Status, err error) (*result, error) {
	if err != nil {
		return nil, err
	}
	return statusResult(s), nil
}

// watch returns the status once its fingerprint differs from known, or after
// wait.
func (t *Target) watch(ctx context.Context, known string, wait time.Duration) rosemary.Status {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		t.mu.Lock()
		status, changed := t.status(), t.changed
		t.mu.Unlock()
		if status.Fingerprint() != known {
			return status
		}
		select {
		case <-changed:
		case <-deadline.C:
			return status
		case <-ctx.Done():
			return status
		}
	}
}

// Values of the state column of requestsTable.
const (
	requestRan       = "ran"
	requestAbandoned = "abandoned"
)

// claim records that the request with that identifier runs in the current
// transaction. If the request has a state already, claim fails with 23505 and a
// detail whose last word is that state, which the proxy parses.
func (s *session) claim(ctx context.Context, id string) (*result, error) {
	tx := s.transaction
	if err := tx.checkWritable(); err != nil {
		return nil, err
	}
	key := rowID{requestsTable, id}
	if err := tx.lockRow(ctx, key); err != nil {
		return nil, err
	}
	s.target.mu.Lock()
	existing := tx.find(requestsTable, id)
	s.target.mu.Unlock()
	if existing != nil {
		e := newError("23505", "request %q is already recorded", id)
		e.detail = "Recorded state: " + existing[1].Text
		return nil, e
	}
	tx.write(op{kind: opPut, table: requestsTable, key: id, row: row{{Text: id}, {Text: requestRan}}})
	return singleValue("claim", false, id), nil
}

// outcome returns whether a request ran. One that didn't is recorded as
// abandoned, so that it can't run later. The state is written in either case:
// once a quorum has confirmed this write, a failover can't change the answer.
func (s *session) outcome(ctx context.Context, id string) (*result, error) {
	tx := s.transaction
	if err := tx.checkWritable(); err != nil {
		return nil, err
	}
	if err := tx.lockRow(ctx, rowID{requestsTable, id}); err != nil {
		return singleValue("outcome", false, "unknown"), nil // the transaction that claimed the request may still run
	}
	s.target.mu.Lock()
	existing := tx.find(requestsTable, id)
	s.target.mu.Unlock()
	state, answer := requestAbandoned, "did not run"
	if existing != nil && existing[1].Text == requestRan {
		state, answer = requestRan, "ran"
	}
	tx.write(op{kind: opPut, table: requestsTable, key: id, row: row{{Text: id}, {Text: state}}})
	return singleValue("outcome", false, answer), nil
}
