package rosetarget

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// value is one field of a row, in text form.
type value struct {
	Null bool
	Text string
}

type row []value

type column struct {
	Name       string
	Integer    bool
	PrimaryKey bool
}

// table holds rows by encoded key, with the keys in order.
type table struct {
	columns []column
	key     int
	rows    map[string]row
	order   []string
}

func newTable(columns []column) *table {
	t := &table{columns: columns, rows: make(map[string]row)}
	for i, c := range columns {
		if c.PrimaryKey {
			t.key = i
		}
	}
	return t
}

func (t *table) index(name string) int {
	return slices.IndexFunc(t.columns, func(c column) bool { return c.Name == name })
}

// encodeKey returns a string that orders as the key column does.
func (t *table) encodeKey(v value) string {
	if !t.columns[t.key].Integer {
		return v.Text
	}
	number, _ := strconv.ParseInt(v.Text, 10, 64)
	return fmt.Sprintf("%020d", uint64(number)+1<<63)
}

func (t *table) put(key string, r row) {
	if _, exists := t.rows[key]; !exists {
		at, _ := slices.BinarySearch(t.order, key)
		t.order = slices.Insert(t.order, at, key)
	}
	t.rows[key] = r
}

func (t *table) remove(key string) {
	if _, exists := t.rows[key]; !exists {
		return
	}
	delete(t.rows, key)
	at, _ := slices.BinarySearch(t.order, key)
	t.order = slices.Delete(t.order, at, at+1)
}

// compareValues orders two fields of one column; null comes last.
func compareValues(number bool, a, b value) int {
	if a.Null || b.Null {
		return cmp.Compare(boolInt(a.Null), boolInt(b.Null))
	}
	if number {
		x, _ := strconv.ParseInt(a.Text, 10, 64)
		y, _ := strconv.ParseInt(b.Text, 10, 64)
		return cmp.Compare(x, y)
	}
	return strings.Compare(a.Text, b.Text)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func matches(operator string, order int) (bool, error) {
	switch operator {
	case "=":
		return order == 0, nil
	case "<>", "!=":
		return order != 0, nil
	case "<":
		return order < 0, nil
	case "<=":
		return order <= 0, nil
	case ">":
		return order > 0, nil
	case ">=":
		return order >= 0, nil
	}
	return false, syntaxError("unknown operator %q", operator)
}
