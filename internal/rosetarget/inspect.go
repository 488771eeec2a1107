package rosetarget

import "time"

// Put is a row that a record wrote.
type Put struct {
	Table  string
	Fields []string
}

// Record is a commit in a target's log, for history checks.
type Record struct {
	Term uint64
	At   time.Time
	Puts []Put
}

// Log returns the target's log from its start.
func (t *Target) Log() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, len(t.data.log))
	for i, r := range t.data.log {
		records[i] = Record{Term: r.term, At: r.at, Puts: r.puts()}
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

// maxServed bounds the statements whose times are kept.
const maxServed = 100_000

func (t *Target) noteStatement() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.servedAt) >= maxServed {
		t.servedAt = t.servedAt[maxServed/2:]
	}
	t.servedAt = append(t.servedAt, time.Now())
}

// StatementsAfter returns the number of statements on tables that began after
// at.
func (t *Target) StatementsAfter(at time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, served := range t.servedAt {
		if served.After(at) {
			count++
		}
	}
	return count
}
