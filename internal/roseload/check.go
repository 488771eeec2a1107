package roseload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywell/rosemarywell/internal/rosetarget"
)

// findings counts the violations of a history.
type findings struct {
	AcknowledgedLost         int
	ReadYourWritesViolations int
	StaleBeyondAge           int
	DoubleRuns               int
	MixedTransactions        int
	WrongAnswers             int
	FalseNotRun              int
	NotLinearizable          int
	// Examples names the first violations found.
	Examples []string
}

// maxExamples bounds the violations that are described.
const maxExamples = 10

func (f *findings) note(count *int, format string, args ...any) {
	*count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// register is the order in which the surviving log set one key.
type register struct {
	// place tells the place of each value in values.
	place  map[int64]int
	values []int64
	at     []time.Time
}

// truth is what the surviving log of one database says.
type truth struct {
	registers map[string]*register
	// runs counts the rows that each request left.
	runs map[string]int
	// rows tells which request rows are there, as "request:attempt".
	rows map[string]bool
	// mixed lists the records that mix transactions.
	mixed []string
}

// readTruth takes the log of the target that leads the highest term.
func (r *run) readTruth(database string) *truth {
	var best *rosetarget.Target
	for _, t := range r.stack.Clusters[database].Targets() {
		if best == nil || t.Status().Position.Compare(best.Status().Position) > 0 {
			best = t
		}
	}
	tr := &truth{registers: make(map[string]*register), runs: make(map[string]int), rows: make(map[string]bool)}
	for n, record := range best.Log() {
		tr.take(r.mix, n, record)
	}
	return tr
}

func (tr *truth) take(m mix, n int, record rosetarget.Record) {
	var sets, marks []string
	for _, put := range record.Puts {
		switch put.Table {
		case m.table:
			value, _ := strconv.ParseInt(put.Fields[m.versionField], 10, 64)
			tr.set(put.Fields[0], value, record.At)
			sets = append(sets, "tx-"+put.Fields[m.versionField])
		case m.onceTable:
			id := put.Fields[0]
			request, _, _ := strings.Cut(id, ":")
			tr.rows[id] = true
			tr.runs[request]++
			if strings.HasPrefix(id, "tx-") {
				marks = append(marks, id)
			}
		}
	}
	if len(sets) > MaxTransactionRows {
		return
	}
	if len(marks) > 1 || len(sets) > 1 || len(marks) == 1 && (len(sets) != 1 || sets[0] != marks[0]) {
		tr.mixed = append(tr.mixed, fmt.Sprintf("record %d sets %v and marks %v", n+1, sets, marks))
	}
}

// MaxTransactionRows is the number of rows above which a record is one that filled the
// tables.
const MaxTransactionRows = 10

func (tr *truth) set(key string, value int64, at time.Time) {
	reg := tr.registers[key]
	if reg == nil {
		reg = &register{place: make(map[int64]int)}
		tr.registers[key] = reg
	}
	reg.place[value] = len(reg.values)
	reg.values = append(reg.values, value)
	reg.at = append(reg.at, at)
}

// holds reports whether the surviving log set key to value.
func (tr *truth) holds(key string, value int64) bool {
	reg := tr.registers[key]
	if reg == nil {
		return false
	}
	_, found := reg.place[value]
	return found
}

// check compares a history with what survived.
func (r *run) check(operations []Operation) *findings {
	f := &findings{}
	for _, database := range r.config.Deployment.Databases {
		tr := r.readTruth(database)
		var own []Operation
		for _, o := range operations {
			if o.Database == database {
				own = append(own, o)
			}
		}
		f.checkDatabase(tr, own)
		f.checkRegisters(database, own)
	}
	return f
}

func (f *findings) checkDatabase(tr *truth, operations []Operation) {
	for _, m := range tr.mixed {
		f.note(&f.MixedTransactions, "%s", m)
	}
	for request, runs := range tr.runs {
		if runs > 1 {
			f.note(&f.DoubleRuns, "request %s ran %d times", request, runs)
		}
	}
	for _, o := range operations {
		if o.WrongAnswer {
			f.note(&f.WrongAnswers, "%s %s of %s got another's answer", o.Session, o.Kind, o.Key)
		}
		switch o.Kind {
		case KindInsert:
			f.checkOnce(tr, o)
		case KindWrite, KindSwap:
			f.checkWrite(tr, o)
		case KindRead:
			f.checkAge(tr, o)
		}
	}
	f.checkSessions(tr, operations)
}

func (f *findings) checkOnce(tr *truth, o Operation) {
	row := fmt.Sprintf("%s:%d", o.Key, o.Attempt)
	switch {
	case o.Outcome == OutcomeAnswered && !tr.rows[row]:
		f.note(&f.AcknowledgedLost, "request %s was acknowledged and is gone", row)
	case o.Outcome == OutcomeNotRun && tr.rows[row]:
		f.note(&f.FalseNotRun, "request %s was told not run: %s", row, o.Error)
	case o.Outcome == OutcomeDuplicate && tr.rows[row]:
		f.note(&f.FalseNotRun, "request %s was told it is a duplicate, and ran", row)
	case o.Outcome == OutcomeDuplicate && strings.Contains(o.Error, "first outcome: ran") && tr.runs[o.Key] == 0:
		f.note(&f.AcknowledgedLost, "request %s was told it ran before, and is gone", row)
	}
}

func (f *findings) checkWrite(tr *truth, o Operation) {
	there := tr.holds(o.Key, o.Value)
	switch {
	case o.Outcome == OutcomeAnswered && !there:
		f.note(&f.AcknowledgedLost, "%s=%d was acknowledged and is gone", o.Key, o.Value)
	case o.Outcome == OutcomeNotRun && there:
		f.note(&f.FalseNotRun, "%s=%d was told not run: %s", o.Key, o.Value, o.Error)
	}
}

// checkAge looks for values that had been replaced for longer than the class
// allows when the read was sent.
func (f *findings) checkAge(tr *truth, o Operation) {
	for key, value := range o.ReadValues {
		reg := tr.registers[key]
		if reg == nil {
			continue
		}
		place, found := reg.place[value]
		if !found || place+1 >= len(reg.values) {
			continue
		}
		if replaced := reg.at[place+1]; o.Start.Sub(replaced) > o.MaxAge {
			f.note(&f.StaleBeyondAge, "%s read %s=%d, replaced %s before", o.Session, key, value, o.Start.Sub(replaced))
		}
	}
}

// checkSessions looks for reads that miss an earlier write of their session.
func (f *findings) checkSessions(tr *truth, operations []Operation) {
	type sessionKey struct{ session, key string }
	latest := make(map[sessionKey]int)
	for _, o := range inOrder(operations) {
		for key, value := range o.ReadValues {
			reg := tr.registers[key]
			floor, wrote := latest[sessionKey{o.Session, key}]
			if reg == nil || !wrote || o.Outcome != OutcomeAnswered {
				continue
			}
			if place, found := reg.place[value]; found && place < floor {
				f.note(&f.ReadYourWritesViolations, "%s read %s=%d (%d) after its own write at %d", o.Session, key, value, place, floor)
			}
		}
		if o.Outcome != OutcomeAnswered || o.Kind != KindWrite && o.Kind != KindSwap {
			continue
		}
		if reg := tr.registers[o.Key]; reg != nil {
			if place, found := reg.place[o.Value]; found {
				latest[sessionKey{o.Session, o.Key}] = place
			}
		}
	}
}
