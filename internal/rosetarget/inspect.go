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
