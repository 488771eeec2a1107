package rosetarget

import (
	"context"
	"strconv"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/roseclock"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// statusColumns are those of the functions that report a status.
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

func oneColumn(name string, number bool, text string) *result {
	return &result{columns: []column{{Name: name, Integer: number}}, rows: []row{{{Text: text}}}, tag: "SELECT 1"}
}

// functionColumns describes a function's answer without calling it.
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

// callFunction answers a call of one of the target's functions.
func (s *session) callFunction(ctx context.Context, st *statement, args []value) (*result, error) {
	t := s.target
	argument := func(i int) string {
		if i < len(args) {
			return args[i].Text
		}
		return ""
	}
	number := func(i int) uint64 {
		n, _ := strconv.ParseUint(argument(i), 10, 64)
		return n
	}
	switch st.function {
	case "rosemary.status":
		return statusResult(t.Status()), nil
	case "rosemary.watch":
		roseclock.Sleep(ctx, t.slowness())
		status := t.watch(ctx, argument(0), time.Duration(number(1))*time.Millisecond)
		result := statusResult(status)
		if status.Fingerprint() == argument(0) {
			result.rows, result.tag = nil, "SELECT 0"
		}
		return result, nil
	case "rosemary.fence":
		return orStatus(t.fence(number(0), argument(1)))
	case "rosemary.promote":
		return orStatus(t.promote(number(0)))
	case "rosemary.follow":
		return orStatus(t.followPrimary(rosemary.TargetID(argument(0)), number(1)))
	case "rosemary.position":
		return oneColumn("position", false, s.committed.String()), nil
	case "rosemary.claim":
		return s.claim(ctx, argument(0))
	case "rosemary.outcome":
		return s.outcome(ctx, argument(0))
	case "pg_sleep":
		seconds, _ := strconv.ParseFloat(argument(0), 64)
		if !roseclock.Sleep(ctx, time.Duration(seconds*float64(time.Second))) {
			return nil, newError("57014", "canceling statement due to user request")
		}
		return oneColumn("pg_sleep", false, ""), nil
	case "version":
		return oneColumn("version", false, serverVersion), nil
	case "current_schema":
		return oneColumn("current_schema", false, "public"), nil
	}
	_, err := functionColumns(st.function)
	return nil, err
}

func orStatus(s rosemary.Status, err error) (*result, error) {
	if err != nil {
		return nil, err
	}
	return statusResult(s), nil
}

// watch returns the status once its fingerprint differs from known.
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

// Values of the state column of a request.
const (
	requestRan       = "ran"
	requestAbandoned = "abandoned"
)

// claim records that the request of that identifier runs in the current
// transaction. It fails with 23505 when it was claimed before.
func (s *session) claim(ctx context.Context, id string) (*result, error) {
	x := s.transaction
	if err := x.writable(); err != nil {
		return nil, err
	}
	key := lockKey{requestsTable, id}
	if err := x.lock(ctx, key); err != nil {
		return nil, err
	}
	s.target.mu.Lock()
	found := x.find(requestsTable, id)
	s.target.mu.Unlock()
	if found != nil {
		e := newError("23505", "request %q was claimed before", id)
		e.detail = "Its outcome is: " + found[1].Text
		return nil, e
	}
	x.write(op{kind: opPut, table: requestsTable, key: id, row: row{{Text: id}, {Text: requestRan}}})
	return oneColumn("claim", false, id), nil
}

// outcome tells whether a request ran. One that didn't is marked, so that it
// can't run later. The answer is written in either case: once that write is
// confirmed, what it tells is so too.
func (s *session) outcome(ctx context.Context, id string) (*result, error) {
	x := s.transaction
	if err := x.writable(); err != nil {
		return nil, err
	}
	if err := x.lock(ctx, lockKey{requestsTable, id}); err != nil {
		return oneColumn("outcome", false, "unknown"), nil // a held claim is an answer
	}
	s.target.mu.Lock()
	found := x.find(requestsTable, id)
	s.target.mu.Unlock()
	state, answer := requestAbandoned, "did not run"
	if found != nil && found[1].Text == requestRan {
		state, answer = requestRan, "ran"
	}
	x.write(op{kind: opPut, table: requestsTable, key: id, row: row{{Text: id}, {Text: state}}})
	return oneColumn("outcome", false, answer), nil
}
