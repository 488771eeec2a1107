package rosetarget

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// lockTimeout bounds the wait for a row that another transaction holds.
const lockTimeout = time.Second

// lockKey names a row.
type lockKey struct {
	table string
	key   string
}

// rowLock is held by one transaction; released is closed at its end.
type rowLock struct {
	owner    *transaction
	released chan struct{}
}

// transaction collects the operations of one transaction. Its overlay shows
// them to the transaction itself before they are committed.
type transaction struct {
	target   *Target
	term     uint64
	explicit bool
	failed   bool
	ops      []op
	overlay  map[lockKey]row
	locks    map[lockKey]*rowLock
}

func (t *Target) begin(explicit bool) *transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &transaction{
		target:   t,
		term:     t.term,
		explicit: explicit,
		overlay:  make(map[lockKey]row),
		locks:    make(map[lockKey]*rowLock),
	}
}

// lock takes a row for the transaction, waiting for its holder.
func (x *transaction) lock(ctx context.Context, key lockKey) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		x.target.mu.Lock()
		held := x.target.locks[key]
		if held == nil || held.owner == x {
			if held == nil {
				held = &rowLock{owner: x, released: make(chan struct{})}
				x.target.locks[key] = held
				x.locks[key] = held
			}
			x.target.mu.Unlock()
			return nil
		}
		x.target.mu.Unlock()
		select {
		case <-held.released:
		case <-deadline.C:
			return newError("55P03", "row %s of %s is locked by another transaction", key.key, key.table)
		case <-ctx.Done():
			return newError("57014", "canceling statement due to user request")
		}
	}
}

// unlock frees every row. The target's lock is held.
func (x *transaction) unlock() {
	for key, held := range x.locks {
		delete(x.target.locks, key)
		close(held.released)
	}
	x.locks = make(map[lockKey]*rowLock)
}

// find returns the row as the transaction sees it; nil if there is none. The
// target's lock is held.
func (x *transaction) find(name, key string) row {
	if r, changed := x.overlay[lockKey{name, key}]; changed {
		return r
	}
	if t := x.target.data.tables[name]; t != nil {
		return t.rows[key]
	}
	return nil
}

// keys lists the keys of a table as the transaction sees it, in order. The
// target's lock is held.
func (x *transaction) keys(name string) []string {
	var keys []string
	if t := x.target.data.tables[name]; t != nil {
		keys = t.order
	}
	var added []string
	for k := range x.overlay {
		if k.table != name {
			continue
		}
		if _, found := slices.BinarySearch(keys, k.key); !found {
			added = append(added, k.key)
		}
	}
	if len(added) == 0 {
		return keys
	}
	merged := append(slices.Clone(keys), added...)
	slices.Sort(merged)
	return merged
}

func (x *transaction) write(o op) {
	x.ops = append(x.ops, o)
	x.overlay[lockKey{o.table, o.key}] = o.row
}

// commit writes the operations as one record. It refuses when the target has
// lost its term, in which case nothing of the transaction remains.
func (x *transaction) commit() (rosemary.Position, error) {
	t := x.target
	t.mu.Lock()
	defer t.mu.Unlock()
	defer x.unlock()
	if len(x.ops) == 0 {
		return rosemary.Position{}, nil
	}
	if t.role != rosemary.RolePrimary || t.term != x.term {
		return rosemary.Position{}, readOnlyError()
	}
	t.data.append(record{term: t.term, at: time.Now(), ops: x.ops})
	t.notify()
	return t.data.position(), nil
}

func (x *transaction) rollback() {
	x.target.mu.Lock()
	defer x.target.mu.Unlock()
	x.unlock()
}

func readOnlyError() *sqlError {
	return newError("25006", "cannot execute a write on a read-only target")
}

// evaluator turns expressions into values.
type evaluator struct {
	params []value
	table  *table
	row    row
}

func (e evaluator) value(x expression) (value, error) {
	base, err := e.base(x)
	if err != nil || x.addend == nil {
		return base, err
	}
	addend, err := e.value(*x.addend)
	if err != nil {
		return value{}, err
	}
	a, errA := strconv.ParseInt(base.Text, 10, 64)
	b, errB := strconv.ParseInt(addend.Text, 10, 64)
	if errA != nil || errB != nil {
		return value{}, newError("22P02", "invalid input for integer arithmetic")
	}
	if x.negate {
		b = -b
	}
	return value{Text: strconv.FormatInt(a+b, 10)}, nil
}

func (e evaluator) base(x expression) (value, error) {
	switch {
	case x.param > 0:
		if x.param > len(e.params) {
			return value{}, newError("42P02", "there is no parameter $%d", x.param)
		}
		return e.params[x.param-1], nil
	case x.column != "":
		if e.table == nil || e.row == nil {
			return value{}, newError("42703", "column %q does not exist", x.column)
		}
		at := e.table.index(x.column)
		if at < 0 {
			return value{}, newError("42703", "column %q does not exist", x.column)
		}
		return e.row[at], nil
	}
	return x.literal, nil
}
