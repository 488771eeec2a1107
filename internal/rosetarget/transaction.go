package rosetarget

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// lockTimeout bounds the wait for a row locked by another transaction.
const lockTimeout = time.Second

// rowID identifies a row by table and encoded key.
type rowID struct {
	table string
	key   string
}

// rowLock is held by one transaction; released is closed when that transaction
// ends.
type rowLock struct {
	owner    *transaction
	released chan struct{}
}

// transaction collects the operations of one transaction until its commit. The
// overlay makes its row changes visible to its own reads; a nil row is a deleted
// one.
type transaction struct {
	target   *Target
	term     uint64
	explicit bool
	failed   bool
	ops      []op
	overlay  map[rowID]row
	locks    map[rowID]*rowLock
}

func (t *Target) begin(explicit bool) *transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &transaction{
		target:   t,
		term:     t.term,
		explicit: explicit,
		overlay:  make(map[rowID]row),
		locks:    make(map[rowID]*rowLock),
	}
}

// lockRow locks a row, waiting for the transaction that holds it.
func (tx *transaction) lockRow(ctx context.Context, id rowID) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		tx.target.mu.Lock()
		lock := tx.target.locks[id]
		if lock == nil || lock.owner == tx {
			if lock == nil {
				lock = &rowLock{owner: tx, released: make(chan struct{})}
				tx.target.locks[id] = lock
				tx.locks[id] = lock
			}
			tx.target.mu.Unlock()
			return nil
		}
		tx.target.mu.Unlock()
		select {
		case <-lock.released:
		case <-deadline.C:
			return newError("55P03", "row %s of %s is locked by another transaction", id.key, id.table)
		case <-ctx.Done():
			return newError("57014", "canceling statement due to user request")
		}
	}
}

// releaseLocks unlocks all rows. The caller holds the target's mu.
func (tx *transaction) releaseLocks() {
	for id, lock := range tx.locks {
		delete(tx.target.locks, id)
		close(lock.released)
	}
	tx.locks = make(map[rowID]*rowLock)
}

// find returns the row as visible to the transaction, or nil. The caller holds
// the target's mu.
func (tx *transaction) find(name, key string) row {
	if r, changed := tx.overlay[rowID{name, key}]; changed {
		return r
	}
	if t := tx.target.data.tables[name]; t != nil {
		return t.rows[key]
	}
	return nil
}

// keys returns the sorted keys of a table, including those that the transaction
// added or deleted. The caller holds the target's mu.
func (tx *transaction) keys(name string) []string {
	var keys []string
	if t := tx.target.data.tables[name]; t != nil {
		keys = t.sortedKeys
	}
	var added []string
	for id := range tx.overlay {
		if id.table != name {
			continue
		}
		if _, found := slices.BinarySearch(keys, id.key); !found {
			added = append(added, id.key)
		}
	}
	if len(added) == 0 {
		return keys
	}
	merged := append(slices.Clone(keys), added...)
	slices.Sort(merged)
	return merged
}

func (tx *transaction) write(o op) {
	tx.ops = append(tx.ops, o)
	tx.overlay[rowID{o.table, o.key}] = o.row
}

// commit appends the operations to the log as one record. It fails, and discards
// them, if the target is no longer primary of the term in which the transaction
// began.
func (tx *transaction) commit() (rosemary.Position, error) {
	t := tx.target
	t.mu.Lock()
	defer t.mu.Unlock()
	defer tx.releaseLocks()
	if len(tx.ops) == 0 {
		return rosemary.Position{}, nil
	}
	if t.role != rosemary.RolePrimary || t.term != tx.term {
		return rosemary.Position{}, readOnlyError()
	}
	t.data.append(record{term: t.term, committedAt: time.Now(), ops: tx.ops})
	t.notify()
	return t.data.position(), nil
}

func (tx *transaction) rollback() {
	tx.target.mu.Lock()
	defer tx.target.mu.Unlock()
	tx.releaseLocks()
}

func readOnlyError() *sqlError {
	return newError("25006", "cannot execute a write on a read-only target")
}

// evaluator evaluates expressions. Columns have the values of row; without one,
// they are errors.
type evaluator struct {
	params []value
	table  *table
	row    row
}

func (e evaluator) evaluate(expr expression) (value, error) {
	operand, err := e.operand(expr)
	if err != nil || expr.addend == nil {
		return operand, err
	}
	addend, err := e.evaluate(*expr.addend)
	if err != nil {
		return value{}, err
	}
	a, errA := strconv.ParseInt(operand.Text, 10, 64)
	b, errB := strconv.ParseInt(addend.Text, 10, 64)
	if errA != nil || errB != nil {
		return value{}, newError("22P02", "operands of + and - must be integers")
	}
	if expr.subtract {
		b = -b
	}
	return value{Text: strconv.FormatInt(a+b, 10)}, nil
}

func (e evaluator) operand(expr expression) (value, error) {
	switch {
	case expr.param > 0:
		if expr.param > len(e.params) {
			return value{}, newError("42P02", "there is no parameter $%d", expr.param)
		}
		return e.params[expr.param-1], nil
	case expr.column != "":
		if e.table == nil || e.row == nil {
			return value{}, newError("42703", "column %q does not exist", expr.column)
		}
		index := e.table.columnIndex(expr.column)
		if index < 0 {
			return value{}, newError("42703", "column %q does not exist", expr.column)
		}
		return e.row[index], nil
	}
	return expr.literal, nil
}
