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

// table holds rows by encoded key, and the encoded keys in ascending order.
type table struct {
	columns    []column
	keyColumn  int
	rows       map[string]row
	sortedKeys []string
}

func newTable(columns []column) *table {
	t := &table{columns: columns, rows: make(map[string]row)}
	for i, c := range columns {
		if c.PrimaryKey {
			t.keyColumn = i
		}
	}
	return t
}

func (t *table) columnIndex(name string) int {
	return slices.IndexFunc(t.columns, func(c column) bool { return c.Name == name })
}

// encodeKey returns a string that sorts as the key column does.
func (t *table) encodeKey(v value) string {
	if !t.columns[t.keyColumn].Integer {
		return v.Text
	}
	number, _ := strconv.ParseInt(v.Text, 10, 64)
	return fmt.Sprintf("%020d", uint64(number)+1<<63)
}

func (t *table) put(key string, r row) {
	if _, exists := t.rows[key]; !exists {
		index, _ := slices.BinarySearch(t.sortedKeys, key)
		t.sortedKeys = slices.Insert(t.sortedKeys, index, key)
	}
	t.rows[key] = r
}

func (t *table) remove(key string) {
	if _, exists := t.rows[key]; !exists {
		return
	}
	delete(t.rows, key)
	index, _ := slices.BinarySearch(t.sortedKeys, key)
	t.sortedKeys = slices.Delete(t.sortedKeys, index, index+1)
}

// compareValues compares two fields of one column; NULL sorts last.
func compareValues(integer bool, a, b value) int {
	if a.Null || b.Null {
		return cmp.Compare(boolToInt(a.Null), boolToInt(b.Null))
	}
	if integer {
		x, _ := strconv.ParseInt(a.Text, 10, 64)
		y, _ := strconv.ParseInt(b.Text, 10, 64)
		return cmp.Compare(x, y)
	}
	return strings.Compare(a.Text, b.Text)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// comparisonHolds reports whether an operator holds for two values, given the
// result of compareValues.
func comparisonHolds(operator string, comparison int) (bool, error) {
	switch operator {
	case "=":
		return comparison == 0, nil
	case "<>", "!=":
		return comparison != 0, nil
	case "<":
		return comparison < 0, nil
	case "<=":
		return comparison <= 0, nil
	case ">":
		return comparison > 0, nil
	case ">=":
		return comparison >= 0, nil
	}
	return false, syntaxError("unknown operator %q", operator)
}
