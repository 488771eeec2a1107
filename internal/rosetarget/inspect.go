package rosetarget

import "time"

// Put is a row written by a record.
type Put struct {
	Table  string
	Fields []string
}

// Record is one commit in a target's log, or the record without puts that starts
// a term.
type Record struct {
	Term        uint64
	CommittedAt time.Time
	Puts        []Put
}

// Log returns the target's whole log.
func (t *Target) Log() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, len(t.data.log))
	for i, r := range t.data.log {
		records[i] = Record{Term: r.term, CommittedAt: r.committedAt, Puts: r.puts()}
	}
	return records
}

func (r record) puts() []Put {
	var puts []Put
	for _, o := range r.ops {
		if o.kind != opPut {
			continue
		}
		fields := make([]string, len(o.row))
		for i, v := range o.row {
			fields[i] = v.Text
		}
		puts = append(puts, Put{Table: o.table, Fields: fields})
	}
	return puts
}

// maxStatementTimes bounds the number of statement times kept. The older half is
// dropped when it is reached.
const maxStatementTimes = 100_000

func (t *Target) recordStatement() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.statementTimes) >= maxStatementTimes {
		t.statementTimes = t.statementTimes[maxStatementTimes/2:]
	}
	t.statementTimes = append(t.statementTimes, time.Now())
}

// StatementsAfter returns the number of statements that acquired a slot after
// start. Function calls take no slot.
func (t *Target) StatementsAfter(start time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, began := range t.statementTimes {
		if began.After(start) {
			count++
		}
	}
	return count
}
