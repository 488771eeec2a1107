// Package roseload generates load on a deployment, with the mix of requests that
// is typical of the customer, and injects faults. It records the history of the
// operations as clients observed them and checks its consistency.
package roseload

import (
	"sync"
	"time"
)

// Kind is the kind of an operation.
type Kind string

// Kinds of operations. A register is the version column of a row.
const (
	// KindRead reads registers with a declared class.
	KindRead Kind = "read"
	// KindWrite sets a register. It is idempotent.
	KindWrite Kind = "write"
	// KindInsert inserts a row that must not be inserted twice.
	KindInsert Kind = "once"
	// KindSwap reads and then sets a register in a transaction.
	KindSwap Kind = "swap"
)

// Outcome is the outcome of an operation as reported to the client.
type Outcome string

// Outcomes of an operation.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not run"
	OutcomeUnknown  Outcome = "outcome unknown"
	// OutcomeDuplicate is the outcome of a request whose identifier was claimed
	// before.
	OutcomeDuplicate Outcome = "duplicate"
)

// Operation is one attempt of a request and its response, as the client observed
// them.
type Operation struct {
	Session  string
	Tenant   string
	Class    string
	Database string
	Kind     Kind
	// Key is the register's key or, for KindInsert, the request identifier.
	Key string
	// Value is the value that a write or a swap sets.
	Value int64
	// Attempt counts the attempts of a KindInsert with one request identifier,
	// from 1.
	Attempt int
	// ReadValues holds the values read, by key.
	ReadValues map[string]int64
	// WrongAnswer is set if the response does not match the request.
	WrongAnswer bool
	// MaxAge is the maximum age of the data that a read may return.
	MaxAge time.Duration
	// Due is the scheduled arrival of the request, from which its latency
	// counts. Start is when it was sent.
	Due     time.Time
	Start   time.Time
	End     time.Time
	Outcome Outcome
	Error   string
}

// history collects the operations of all sessions.
type history struct {
	mu         sync.Mutex
	operations []Operation
}

func (h *history) add(o Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func (h *history) snapshot() []Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Operation(nil), h.operations...)
}

func (h *history) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}
