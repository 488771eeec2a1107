package rosetarget

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// result is the answer to one statement.
type result struct {
	columns []column
	rows    []row
	tag     string
}

// run executes a statement that touches tables.
func (x *transaction) run(ctx context.Context, s *statement, params []value) (*result, error) {
	switch s.verb {
	case "create":
		return x.create(s)
	case "insert":
		return x.insert(ctx, s, params)
	case "update", "delete":
		return x.change(ctx, s, params)
	}
	return x.selectRows(ctx, s, params)
}

// writable refuses a write on a target that isn't the primary of its term.
func (x *transaction) writable() error {
	x.target.mu.Lock()
	defer x.target.mu.Unlock()
	if x.target.role != rosemary.RolePrimary || x.target.term != x.term {
		return readOnlyError()
	}
	return nil
}

func (x *transaction) create(s *statement) (*result, error) {
	if err := x.writable(); err != nil {
		return nil, err
	}
	x.target.mu.Lock()
	exists := x.target.data.tables[s.table] != nil
	x.target.mu.Unlock()
	if exists && !s.ignoreDup {
		return nil, newError("42P07", "relation %q already exists", s.table)
	}
	if !exists {
		x.ops = append(x.ops, op{kind: opCreate, table: s.table, columns: s.defined})
	}
	return &result{tag: "CREATE TABLE"}, nil
}

func (t *Target) lookup(name string) (*table, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if found := t.data.tables[name]; found != nil {
		return found, nil
	}
	return nil, newError("42P01", "relation %q does not exist", name)
}

// writableTable returns a table to write to.
func (x *transaction) writableTable(name string) (*table, error) {
	if err := x.writable(); err != nil {
		return nil, err
	}
	return x.target.lookup(name)
}

func (x *transaction) insert(ctx context.Context, s *statement, params []value) (*result, error) {
	t, err := x.writableTable(s.table)
	if err != nil {
		return nil, err
	}
	inserted := 0
	for _, list := range s.rows {
		r, err := buildRow(t, s, list, params)
		if err != nil {
			return nil, err
		}
		key := t.encodeKey(r[t.key])
		if err := x.lock(ctx, lockKey{s.table, key}); err != nil {
			return nil, err
		}
		x.target.mu.Lock()
		exists := x.find(s.table, key) != nil
		x.target.mu.Unlock()
		if exists && s.ignoreDup {
			continue
		}
		if exists {
			e := newError("23505", "duplicate key value violates unique constraint %q", s.table+"_pkey")
			e.detail = "Key (" + t.columns[t.key].Name + ")=(" + r[t.key].Text + ") already exists."
			return nil, e
		}
		x.write(op{kind: opPut, table: s.table, key: key, row: r})
		inserted++
	}
	return &result{tag: "INSERT 0 " + strconv.Itoa(inserted)}, nil
}

func buildRow(t *table, s *statement, list []expression, params []value) (row, error) {
	r := make(row, len(t.columns))
	for i := range r {
		r[i] = value{Null: true}
	}
	for i, e := range list {
		at := i
		if len(s.columns) > i {
			at = t.index(s.columns[i])
		}
		if at < 0 || at >= len(r) {
			return nil, newError("42703", "INSERT names a column that does not exist")
		}
		v, err := evaluator{params: params}.value(e)
		if err != nil {
			return nil, err
		}
		r[at] = v
	}
	return r, nil
}

// matching lists the keys of the rows that the conditions hold for.
func (x *transaction) matching(t *table, s *statement, params []value) ([]string, error) {
	x.target.mu.Lock()
	defer x.target.mu.Unlock()
	candidates, err := x.candidates(t, s, params)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, key := range candidates {
		r := x.find(s.table, key)
		if r == nil {
			continue
		}
		hit, err := holds(t, s.where, r, params)
		if err != nil {
			return nil, err
		}
		if hit {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

// candidates narrows the keys by the conditions on the primary key.
func (x *transaction) candidates(t *table, s *statement, params []value) ([]string, error) {
	keys := x.keys(s.table)
	for _, c := range s.where {
		if c.column != t.columns[t.key].Name {
			continue
		}
		v, err := evaluator{params: params}.value(c.operand)
		if err != nil {
			return nil, err
		}
		at, found := slices.BinarySearch(keys, t.encodeKey(v))
		switch {
		case c.operator == "=" && found:
			return keys[at : at+1], nil
		case c.operator == "=":
			return nil, nil
		case c.operator == ">=":
			keys = keys[at:]
		}
	}
	return slices.Clone(keys), nil
}

func holds(t *table, where []condition, r row, params []value) (bool, error) {
	for _, c := range where {
		at := t.index(c.column)
		if at < 0 {
			return false, newError("42703", "column %q does not exist", c.column)
		}
		v, err := evaluator{params: params, table: t, row: r}.value(c.operand)
		if err != nil {
			return false, err
		}
		if v.Null || r[at].Null {
			return false, nil
		}
		hit, err := matches(c.operator, compareValues(t.columns[at].Integer, r[at], v))
		if err != nil || !hit {
			return false, err
		}
	}
	return true, nil
}

// change runs an UPDATE or a DELETE. Conditions are checked again once a row
// is locked, so that a concurrent change isn't overwritten.
func (x *transaction) change(ctx context.Context, s *statement, params []value) (*result, error) {
	t, err := x.writableTable(s.table)
	if err != nil {
		return nil, err
	}
	keys, err := x.matching(t, s, params)
	if err != nil {
		return nil, err
	}
	changed := 0
	for _, key := range keys {
		if err := x.lock(ctx, lockKey{s.table, key}); err != nil {
			return nil, err
		}
		done, err := x.changeRow(t, s, key, params)
		if err != nil {
			return nil, err
		}
		changed += boolInt(done)
	}
	return &result{tag: strings.ToUpper(s.verb) + " " + strconv.Itoa(changed)}, nil
}

func (x *transaction) changeRow(t *table, s *statement, key string, params []value) (bool, error) {
	x.target.mu.Lock()
	current := x.find(s.table, key)
	x.target.mu.Unlock()
	if current == nil {
		return false, nil
	}
	hit, err := holds(t, s.where, current, params)
	if err != nil || !hit {
		return false, err
	}
	if s.verb == "delete" {
		x.write(op{kind: opDelete, table: s.table, key: key})
		return true, nil
	}
	changed := slices.Clone(current)
	for _, a := range s.sets {
		at := t.index(a.column)
		if at < 0 {
			return false, newError("42703", "column %q does not exist", a.column)
		}
		if changed[at], err = (evaluator{params: params, table: t, row: current}).value(a.value); err != nil {
			return false, err
		}
	}
	x.write(op{kind: opPut, table: s.table, key: key, row: changed})
	return true, nil
}

func (x *transaction) selectRows(ctx context.Context, s *statement, params []value) (*result, error) {
	if s.table == "" {
		v, err := evaluator{params: params}.value(s.rows[0][0])
		if err != nil {
			return nil, err
		}
		return &result{columns: literalColumns(s), rows: []row{{v}}, tag: "SELECT 1"}, nil
	}
	t, err := x.target.lookup(s.table)
	if err != nil {
		return nil, err
	}
	keys, err := x.matching(t, s, params)
	if err != nil {
		return nil, err
	}
	if s.forUpdate {
		if keys, err = x.lockRows(ctx, t, s, keys, params); err != nil {
			return nil, err
		}
	}
	if s.count {
		count := row{{Text: strconv.Itoa(len(keys))}}
		return &result{columns: countColumns, rows: []row{count}, tag: "SELECT 1"}, nil
	}
	return x.project(t, s, keys, params)
}

// lockRows locks rows and looks again which of them match.
func (x *transaction) lockRows(ctx context.Context, t *table, s *statement, keys []string, params []value) ([]string, error) {
	if err := x.writable(); err != nil {
		return nil, err
	}
	for _, key := range keys {
		if err := x.lock(ctx, lockKey{s.table, key}); err != nil {
			return nil, err
		}
	}
	return x.matching(t, s, params)
}

var countColumns = []column{{Name: "count", Integer: true}}

func literalColumns(s *statement) []column {
	_, err := strconv.ParseInt(s.rows[0][0].literal.Text, 10, 32)
	return []column{{Name: "?column?", Integer: err == nil}}
}

func (x *transaction) project(t *table, s *statement, keys []string, params []value) (*result, error) {
	rows := make([]row, 0, len(keys))
	x.target.mu.Lock()
	for _, key := range keys {
		if r := x.find(s.table, key); r != nil {
			rows = append(rows, r)
		}
	}
	x.target.mu.Unlock()
	if at := t.index(s.orderBy); at >= 0 {
		slices.SortStableFunc(rows, func(a, b row) int { return compareValues(t.columns[at].Integer, a[at], b[at]) })
	}
	if s.descending {
		slices.Reverse(rows)
	}
	if s.limit != nil {
		v, err := evaluator{params: params}.value(*s.limit)
		if err != nil {
			return nil, err
		}
		limit, err := strconv.Atoi(v.Text)
		if err != nil || limit < 0 {
			return nil, newError("22P02", "bad LIMIT %q", v.Text)
		}
		rows = rows[:min(limit, len(rows))]
	}
	columns, places, err := selected(t, s)
	if err != nil {
		return nil, err
	}
	for i, r := range rows {
		picked := make(row, len(places))
		for j, at := range places {
			picked[j] = r[at]
		}
		rows[i] = picked
	}
	return &result{columns: columns, rows: rows, tag: "SELECT " + strconv.Itoa(len(rows))}, nil
}

// selected returns the columns of a SELECT and their places in a row.
func selected(t *table, s *statement) ([]column, []int, error) {
	var columns []column
	var places []int
	if len(s.columns) == 0 {
		for i, c := range t.columns {
			columns = append(columns, c)
			places = append(places, i)
		}
		return columns, places, nil
	}
	for _, name := range s.columns {
		at := t.index(name)
		if at < 0 {
			return nil, nil, newError("42703", "column %q does not exist", name)
		}
		columns = append(columns, t.columns[at])
		places = append(places, at)
	}
	return columns, places, nil
}
