package roseload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywell/rosemarywell/internal/rosetarget"
)

// findings holds the numbers of violations in a history. Its field names are
// keys of the printed report.
type findings struct {
	AcknowledgedLost         int
	ReadYourWritesViolations int
	// StaleBeyondAge counts values read that were older than their class allows.
	StaleBeyondAge int
	DoubleRuns     int
	// MixedTransactions counts log records with writes of several transactions,
	// or with a part of one.
	MixedTransactions int
	// WrongAnswers counts responses that do not match their request.
	WrongAnswers int
	// FalseNotRun counts operations that were reported as not run, or as
	// duplicates, but are in the log.
	FalseNotRun     int
	NotLinearizable int
	// Examples describes the first maxExamples violations.
	Examples []string
}

const maxExamples = 10

func (f *findings) add(count *int, format string, args ...any) {
	*count++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// register holds the values of one key in the order of the surviving log.
type register struct {
	// indexes maps each value to its index in values.
	indexes map[int64]int
	values  []int64
	setAt   []time.Time
}

// survivingLog holds the effects of the log that survived the run, for one
// database.
type survivingLog struct {
	registers map[string]*register
	// executions counts the rows that each request inserted, one per execution.
	executions map[string]int
	// insertedRows holds the inserted rows as "request:attempt".
	insertedRows map[string]bool
	// mixedRecords describes the log records with writes of several
	// transactions, or with a part of one.
	mixedRecords []string
}

// readSurvivingLog reads the log of the target with the highest position. As
// positions compare by term first, records that a failover discarded are not in
// it.
func (r *run) readSurvivingLog(database string) *survivingLog {
	var newest *rosetarget.Target
	for _, t := range r.stack.Groups[database].Targets() {
		if newest == nil || t.Status().Position.Compare(newest.Status().Position) > 0 {
			newest = t
		}
	}
	sl := &survivingLog{registers: make(map[string]*register), executions: make(map[string]int), insertedRows: make(map[string]bool)}
	for n, record := range newest.Log() {
		sl.apply(r.mix, n, record)
	}
	return sl
}

func (sl *survivingLog) apply(m mix, n int, record rosetarget.Record) {
	var sets, markers []string
	for _, put := range record.Puts {
		switch put.Table {
		case m.table:
			value, _ := strconv.ParseInt(put.Fields[m.versionField], 10, 64)
			sl.set(put.Fields[0], value, record.CommittedAt)
			sets = append(sets, "tx-"+put.Fields[m.versionField])
		case m.insertTable:
			id := put.Fields[0]
			request, _, _ := strings.Cut(id, ":")
			sl.insertedRows[id] = true
			sl.executions[request]++
			if strings.HasPrefix(id, "tx-") {
				markers = append(markers, id)
			}
		}
	}
	if len(sets) > maxTransactionRows {
		return
	}
	if len(markers) > 1 || len(sets) > 1 || len(markers) == 1 && (len(sets) != 1 || sets[0] != markers[0]) {
		sl.mixedRecords = append(sl.mixedRecords, fmt.Sprintf("log record %d sets registers of %v and inserts markers of %v", n+1, sets, markers))
	}
}

// maxTransactionRows is at least the number of registers that a transaction of
// the load sets. Log records that set more are from the creation of the tables.
const maxTransactionRows = 10

func (sl *survivingLog) set(key string, value int64, at time.Time) {
	reg := sl.registers[key]
	if reg == nil {
		reg = &register{indexes: make(map[int64]int)}
		sl.registers[key] = reg
	}
	reg.indexes[value] = len(reg.values)
	reg.values = append(reg.values, value)
	reg.setAt = append(reg.setAt, at)
}

// contains reports whether the surviving log set key to value.
func (sl *survivingLog) contains(key string, value int64) bool {
	reg := sl.registers[key]
	if reg == nil {
		return false
	}
	_, found := reg.indexes[value]
	return found
}

// check compares a history with the surviving logs.
func (r *run) check(operations []Operation) *findings {
	f := &findings{}
	for _, database := range r.config.Deployment.Databases {
		sl := r.readSurvivingLog(database)
		var inDatabase []Operation
		for _, o := range operations {
			if o.Database == database {
				inDatabase = append(inDatabase, o)
			}
		}
		f.checkDatabase(sl, inDatabase)
		f.checkRegisters(database, inDatabase)
	}
	return f
}

func (f *findings) checkDatabase(sl *survivingLog, operations []Operation) {
	for _, m := range sl.mixedRecords {
		f.add(&f.MixedTransactions, "%s", m)
	}
	for request, count := range sl.executions {
		if count > 1 {
			f.add(&f.DoubleRuns, "request %s was executed %d times", request, count)
		}
	}
	for _, o := range operations {
		if o.WrongAnswer {
			f.add(&f.WrongAnswers, "session %s: %s of %s got a response that does not match the request", o.Session, o.Kind, o.Key)
		}
		switch o.Kind {
		case KindInsert:
			f.checkInsert(sl, o)
		case KindWrite, KindSwap:
			f.checkWrite(sl, o)
		case KindRead:
			f.checkAge(sl, o)
		}
	}
	f.checkSessions(sl, operations)
}

func (f *findings) checkInsert(sl *survivingLog, o Operation) {
	row := fmt.Sprintf("%s:%d", o.Key, o.Attempt)
	switch {
	case o.Outcome == OutcomeAnswered && !sl.insertedRows[row]:
		f.add(&f.AcknowledgedLost, "request %s was acknowledged but is not in the log", row)
	case o.Outcome == OutcomeNotRun && sl.insertedRows[row]:
		f.add(&f.FalseNotRun, "request %s was reported as not run but is in the log: %s", row, o.Error)
	case o.Outcome == OutcomeDuplicate && sl.insertedRows[row]:
		f.add(&f.FalseNotRun, "request %s was reported as a duplicate but is in the log", row)
	case o.Outcome == OutcomeDuplicate && strings.Contains(o.Error, "first outcome: ran") && sl.executions[o.Key] == 0:
		f.add(&f.AcknowledgedLost, "request %s was reported to have run before but is not in the log", row)
	}
}

func (f *findings) checkWrite(sl *survivingLog, o Operation) {
	found := sl.contains(o.Key, o.Value)
	switch {
	case o.Outcome == OutcomeAnswered && !found:
		f.add(&f.AcknowledgedLost, "write %s=%d was acknowledged but is not in the log", o.Key, o.Value)
	case o.Outcome == OutcomeNotRun && found:
		f.add(&f.FalseNotRun, "write %s=%d was reported as not run but is in the log: %s", o.Key, o.Value, o.Error)
	}
}

// checkAge finds reads of a value that was overwritten more than MaxAge before
// the read was sent.
func (f *findings) checkAge(sl *survivingLog, o Operation) {
	for key, value := range o.ReadValues {
		reg := sl.registers[key]
		if reg == nil {
			continue
		}
		index, found := reg.indexes[value]
		if !found || index+1 >= len(reg.values) {
			continue
		}
		if replaced := reg.setAt[index+1]; o.Start.Sub(replaced) > o.MaxAge {
			f.add(&f.StaleBeyondAge, "session %s read %s=%d, which was overwritten %s earlier", o.Session, key, value, o.Start.Sub(replaced))
		}
	}
}

// checkSessions finds reads that miss an earlier write of their own session.
func (f *findings) checkSessions(sl *survivingLog, operations []Operation) {
	type sessionKey struct{ session, key string }
	latest := make(map[sessionKey]int)
	for _, o := range sortedByStart(operations) {
		for key, value := range o.ReadValues {
			reg := sl.registers[key]
			minIndex, wrote := latest[sessionKey{o.Session, key}]
			if reg == nil || !wrote || o.Outcome != OutcomeAnswered {
				continue
			}
			if index, found := reg.indexes[value]; found && index < minIndex {
				f.add(&f.ReadYourWritesViolations, "session %s read %s=%d at index %d after its own write at index %d", o.Session, key, value, index, minIndex)
			}
		}
		if o.Outcome != OutcomeAnswered || o.Kind != KindWrite && o.Kind != KindSwap {
			continue
		}
		if reg := sl.registers[o.Key]; reg != nil {
			if index, found := reg.indexes[o.Value]; found {
				latest[sessionKey{o.Session, o.Key}] = index
			}
		}
	}
}
