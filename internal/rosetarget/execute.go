package rosetarget

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// result is the result of one statement. columns is nil if the statement returns
// no rows; tag is the command tag.
type result struct {
	columns []column
	rows    []row
	tag     string
}

// execute runs a statement that reads or writes tables.
func (tx *transaction) execute(ctx context.Context, s *statement, params []value) (*result, error) {
	switch s.command {
	case "create":
		return tx.createTable(s)
	case "insert":
		return tx.insert(ctx, s, params)
	case "update", "delete":
		return tx.updateOrDelete(ctx, s, params)
	}
	return tx.selectRows(ctx, s, params)
}

// checkWritable returns an error unless the target is the primary of the term in
// which the transaction began.
func (tx *transaction) checkWritable() error {
	tx.target.mu.Lock()
	defer tx.target.mu.Unlock()
	if tx.target.role != rosemary.RolePrimary || tx.target.term != tx.term {
		return readOnlyError()
	}
	return nil
}

func (tx *transaction) createTable(s *statement) (*result, error) {
	if err := tx.checkWritable(); err != nil {
		return nil, err
	}
	tx.target.mu.Lock()
	exists := tx.target.data.tables[s.table] != nil
	tx.target.mu.Unlock()
	if exists && !s.ignoreExisting {
		return nil, newError("42P07", "relation %q already exists", s.table)
	}
	if !exists {
		tx.ops = append(tx.ops, op{kind: opCreate, table: s.table, columns: s.columnDefinitions})
	}
	return &result{tag: "CREATE TABLE"}, nil
}

func (t *Target) lookupTable(name string) (*table, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tbl := t.data.tables[name]; tbl != nil {
		return tbl, nil
	}
	return nil, newError("42P01", "relation %q does not exist", name)
}

// writableTable returns a table, or an error if the target is read-only.
func (tx *transaction) writableTable(name string) (*table, error) {
	if err := tx.checkWritable(); err != nil {
		return nil, err
	}
	return tx.target.lookupTable(name)
}

func (tx *transaction) insert(ctx context.Context, s *statement, params []value) (*result, error) {
	t, err := tx.writableTable(s.table)
	if err != nil {
		return nil, err
	}
	inserted := 0
	for _, expressions := range s.rows {
		r, err := buildRow(t, s, expressions, params)
		if err != nil {
			return nil, err
		}
		key := t.encodeKey(r[t.keyColumn])
		if err := tx.lockRow(ctx, rowID{s.table, key}); err != nil {
			return nil, err
		}
		tx.target.mu.Lock()
		exists := tx.find(s.table, key) != nil
		tx.target.mu.Unlock()
		if exists && s.ignoreExisting {
			continue
		}
		if exists {
			e := newError("23505", "duplicate key value violates unique constraint %q", s.table+"_pkey")
			e.detail = "Key (" + t.columns[t.keyColumn].Name + ")=(" + r[t.keyColumn].Text + ") already exists."
			return nil, e
		}
		tx.write(op{kind: opPut, table: s.table, key: key, row: r})
		inserted++
	}
	return &result{tag: "INSERT 0 " + strconv.Itoa(inserted)}, nil
}

func buildRow(t *table, s *statement, expressions []expression, params []value) (row, error) {
	r := make(row, len(t.columns))
	for i := range r {
		r[i] = value{Null: true}
	}
	for i, e := range expressions {
		index := i
		if len(s.columns) > i {
			index = t.columnIndex(s.columns[i])
		}
		if index < 0 || index >= len(r) {
			return nil, newError("42703", "INSERT has a value without a matching column")
		}
		v, err := evaluator{params: params}.evaluate(e)
		if err != nil {
			return nil, err
		}
		r[index] = v
	}
	return r, nil
}

// matchingKeys returns the keys of the rows that satisfy the conditions.
func (tx *transaction) matchingKeys(t *table, s *statement, params []value) ([]string, error) {
	tx.target.mu.Lock()
	defer tx.target.mu.Unlock()
	candidates, err := tx.candidateKeys(t, s, params)
	if err != nil {
		return nil, err
	}
	var keys []string
	for _, key := range candidates {
		r := tx.find(s.table, key)
		if r == nil {
			continue
		}
		matched, err := rowMatches(t, s.where, r, params)
		if err != nil {
			return nil, err
		}
		if matched {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

// candidateKeys narrows the keys of a table by the = and >= conditions on the
// primary key. The rows may still fail other conditions.
func (tx *transaction) candidateKeys(t *table, s *statement, params []value) ([]string, error) {
	keys := tx.keys(s.table)
	for _, c := range s.where {
		if c.column != t.columns[t.keyColumn].Name {
			continue
		}
		v, err := evaluator{params: params}.evaluate(c.operand)
		if err != nil {
			return nil, err
		}
		index, found := slices.BinarySearch(keys, t.encodeKey(v))
		switch {
		case c.operator == "=" && found:
			return keys[index : index+1], nil
		case c.operator == "=":
			return nil, nil
		case c.operator == ">=":
			keys = keys[index:]
		}
	}
	return slices.Clone(keys), nil
}

func rowMatches(t *table, where []condition, r row, params []value) (bool, error) {
	for _, c := range where {
		index := t.columnIndex(c.column)
		if index < 0 {
			return false, newError("42703", "column %q does not exist", c.column)
		}
		v, err := evaluator{params: params, table: t, row: r}.evaluate(c.operand)
		if err != nil {
			return false, err
		}
		if v.Null || r[index].Null {
			return false, nil
		}
		matched, err := comparisonHolds(c.operator, compareValues(t.columns[index].Integer, r[index], v))
		if err != nil || !matched {
			return false, err
		}
	}
	return true, nil
}

// updateOrDelete runs an UPDATE or a DELETE. Conditions are checked again once a
// row is locked, so that a concurrent change isn't overwritten.
func (tx *transaction) updateOrDelete(ctx context.Context, s *statement, params []value) (*result, error) {
	t, err := tx.writableTable(s.table)
	if err != nil {
		return nil, err
	}
	keys, err := tx.matchingKeys(t, s, params)
	if err != nil {
		return nil, err
	}
	changed := 0
	for _, key := range keys {
		if err := tx.lockRow(ctx, rowID{s.table, key}); err != nil {
			return nil, err
		}
		modified, err := tx.updateOrDeleteRow(t, s, key, params)
		if err != nil {
			return nil, err
		}
		changed += boolToInt(modified)
	}
	return &result{tag: strings.ToUpper(s.command) + " " + strconv.Itoa(changed)}, nil
}

func (tx *transaction) updateOrDeleteRow(t *table, s *statement, key string, params []value) (bool, error) {
	tx.target.mu.Lock()
	current := tx.find(s.table, key)
	tx.target.mu.Unlock()
	if current == nil {
		return false, nil
	}
	matched, err := rowMatches(t, s.where, current, params)
	if err != nil || !matched {
		return false, err
	}
	if s.command == "delete" {
		tx.write(op{kind: opDelete, table: s.table, key: key})
		return true, nil
	}
	changed := slices.Clone(current)
	for _, a := range s.assignments {
		index := t.columnIndex(a.column)
		if index < 0 {
			return false, newError("42703", "column %q does not exist", a.column)
		}
		if changed[index], err = (evaluator{params: params, table: t, row: current}).evaluate(a.value); err != nil {
			return false, err
		}
	}
	tx.write(op{kind: opPut, table: s.table, key: key, row: changed})
	return true, nil
}

func (tx *transaction) selectRows(ctx context.Context, s *statement, params []value) (*result, error) {
	if s.table == "" {
		v, err := evaluator{params: params}.evaluate(s.rows[0][0])
		if err != nil {
			return nil, err
		}
		return &result{columns: literalColumns(s), rows: []row{{v}}, tag: "SELECT 1"}, nil
	}
	t, err := tx.target.lookupTable(s.table)
	if err != nil {
		return nil, err
	}
	keys, err := tx.matchingKeys(t, s, params)
	if err != nil {
		return nil, err
	}
	if s.forUpdate {
		if keys, err = tx.lockRows(ctx, t, s, keys, params); err != nil {
			return nil, err
		}
	}
	if s.count {
		count := row{{Text: strconv.Itoa(len(keys))}}
		return &result{columns: countColumns, rows: []row{count}, tag: "SELECT 1"}, nil
	}
	return tx.project(t, s, keys, params)
}

// lockRows locks the rows of keys and then repeats the search, as rows may change
// before they are locked. It returns the keys found.
func (tx *transaction) lockRows(ctx context.Context, t *table, s *statement, keys []string, params []value) ([]string, error) {
	if err := tx.checkWritable(); err != nil {
		return nil, err
	}
	for _, key := range keys {
		if err := tx.lockRow(ctx, rowID{s.table, key}); err != nil {
			return nil, err
		}
	}
	return tx.matchingKeys(t, s, params)
}

var countColumns = []column{{Name: "count", Integer: true}}

func literalColumns(s *statement) []column {
	_, err := strconv.ParseInt(s.rows[0][0].literal.Text, 10, 32)
	return []column{{Name: "?column?", Integer: err == nil}}
}

// project sorts and limits the rows of keys and selects their columns.
func (tx *transaction) project(t *table, s *statement, keys []string, params []value) (*result, error) {
	rows := make([]row, 0, len(keys))
	tx.target.mu.Lock()
	for _, key := range keys {
		if r := tx.find(s.table, key); r != nil {
			rows = append(rows, r)
		}
	}
	tx.target.mu.Unlock()
	if index := t.columnIndex(s.orderBy); index >= 0 {
		slices.SortStableFunc(rows, func(a, b row) int { return compareValues(t.columns[index].Integer, a[index], b[index]) })
	}
	if s.descending {
		slices.Reverse(rows)
	}
	if s.limit != nil {
		v, err := evaluator{params: params}.evaluate(*s.limit)
		if err != nil {
			return nil, err
		}
		limit, err := strconv.Atoi(v.Text)
		if err != nil || limit < 0 {
			return nil, newError("22P02", "invalid LIMIT %q", v.Text)
		}
		rows = rows[:min(limit, len(rows))]
	}
	columns, indexes, err := selectedColumns(t, s)
	if err != nil {
		return nil, err
	}
	for i, r := range rows {
		projected := make(row, len(indexes))
		for j, index := range indexes {
			projected[j] = r[index]
		}
		rows[i] = projected
	}
	return &result{columns: columns, rows: rows, tag: "SELECT " + strconv.Itoa(len(rows))}, nil
}

// selectedColumns returns the columns of a SELECT and their indexes in a row.
func selectedColumns(t *table, s *statement) ([]column, []int, error) {
	var columns []column
	var indexes []int
	if len(s.columns) == 0 {
		for i, c := range t.columns {
			columns = append(columns, c)
			indexes = append(indexes, i)
		}
		return columns, indexes, nil
	}
	for _, name := range s.columns {
		index := t.columnIndex(name)
		if index < 0 {
			return nil, nil, newError("42703", "column %q does not exist", name)
		}
		columns = append(columns, t.columns[index])
		indexes = append(indexes, index)
	}
	return columns, indexes, nil
}
