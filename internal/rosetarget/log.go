package rosetarget

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// opKind is the kind of change that an operation makes to a table.
type opKind int

const (
	opCreate opKind = iota
	opPut           // inserts or replaces a row
	opDelete
)

type op struct {
	kind    opKind
	table   string
	key     string
	row     row
	columns []column
}

// record is the log record of one commit. A new primary starts its term with a
// record without ops, so that its position shows the term before any write.
type record struct {
	term        uint64
	committedAt time.Time
	ops         []op
}

// database is the log of a target and the tables built from it.
type database struct {
	log    []record
	tables map[string]*table
}

// requestsTable holds the state of each request that rosemary.claim or
// rosemary.outcome was called for, by its identifier.
const requestsTable = "rosemary.requests"

func newDatabase() *database {
	return &database{tables: map[string]*table{
		requestsTable: newTable([]column{{Name: "id", PrimaryKey: true}, {Name: "state"}}),
	}}
}

func (d *database) position() rosemary.Position {
	size := len(d.log)
	if size == 0 {
		return rosemary.Position{}
	}
	return rosemary.Position{LogTerm: d.log[size-1].term, Offset: uint64(size)}
}

func (d *database) append(r record) {
	d.log = append(d.log, r)
	for _, o := range r.ops {
		d.apply(o)
	}
}

func (d *database) apply(o op) {
	switch o.kind {
	case opCreate:
		if d.tables[o.table] == nil {
			d.tables[o.table] = newTable(o.columns)
		}
	case opPut:
		d.tables[o.table].put(o.key, o.row)
	case opDelete:
		d.tables[o.table].remove(o.key)
	}
}

// truncate shortens the log to size records and rebuilds the tables from it.
func (d *database) truncate(size int) {
	if size >= len(d.log) {
		return
	}
	kept := d.log[:size:size]
	*d = *newDatabase()
	for _, r := range kept {
		d.append(r)
	}
}

// maxHistoryTerms bounds the number of terms in a status's history.
const maxHistoryTerms = 16

func (d *database) history() rosemary.History {
	var history rosemary.History
	for end := len(d.log); end > 0 && len(history) < maxHistoryTerms; {
		term := d.log[end-1].term
		start := d.termStart(term, end)
		history = append(rosemary.History{{Term: term, Offset: uint64(start + 1)}}, history...)
		end = start
	}
	return history
}

// termStart returns the index of the first record of term in log[:end].
func (d *database) termStart(term uint64, end int) int {
	low, high := 0, end
	for low < high {
		middle := (low + high) / 2
		if d.log[middle].term < term {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// commonPrefix returns the number of leading records that both logs share. If the
// records at an offset have the same term, the logs are equal up to that offset.
func (d *database) commonPrefix(other *database) int {
	size := min(len(d.log), len(other.log))
	for size > 0 && d.log[size-1].term != other.log[size-1].term {
		size--
	}
	return size
}
