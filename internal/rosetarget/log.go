package rosetarget

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// opKind is what one operation does to a table.
type opKind int

const (
	opCreate opKind = iota
	opPut
	opDelete
)

type op struct {
	kind    opKind
	table   string
	key     string
	row     row
	columns []column
}

// record is one commit in the log.
type record struct {
	term uint64
	at   time.Time
	ops  []op
}

// database is the log of a target and the tables that it makes.
type database struct {
	log    []record
	tables map[string]*table
}

// requestsTable holds the identifiers of requests that ran.
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

// truncate cuts the log to size records and rebuilds the tables.
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

// historyTerms bounds the terms that a status lists.
const historyTerms = 16

func (d *database) history() rosemary.History {
	var history rosemary.History
	for end := len(d.log); end > 0 && len(history) < historyTerms; {
		term := d.log[end-1].term
		start := d.termStart(term, end)
		history = append(rosemary.History{{Term: term, Offset: uint64(start + 1)}}, history...)
		end = start
	}
	return history
}

// termStart returns the index of the first record of term before end.
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

// common returns the number of leading records that d and other share.
func (d *database) common(other *database) int {
	size := min(len(d.log), len(other.log))
	for size > 0 && d.log[size-1].term != other.log[size-1].term {
		size--
	}
	return size
}
