// Package roseload runs a deployment under its customer's mix of requests,
// with faults, records what every caller saw, and checks that history.
package roseload

import (
	"sync"
	"time"
)

// Kind is what an operation does.
type Kind string

// Kinds of operations.
const (
	// KindRead reads registers under a declared class.
	KindRead Kind = "read"
	// KindWrite sets a register, and may be repeated.
	KindWrite Kind = "write"
	// KindOnce inserts a row that must not be there twice.
	KindInsert Kind = "once"
	// KindSwap reads and sets a register in a transaction.
	KindSwap Kind = "swap"
)

// Outcome is what the caller was told.
type Outcome string

// Outcomes of an operation.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not run"
	OutcomeUnknown  Outcome = "outcome unknown"
	// OutcomeDuplicate tells that the request ran before.
	OutcomeDuplicate Outcome = "duplicate"
)

// Operation is one request as its caller saw it.
type Operation struct {
	Session  string
	Tenant   string
	Class    string
	Database string
	Kind     Kind
	// Key names the register, or the request of a KindOnce.
	Key   string
	Value int64
	// Attempt counts the tries of a KindOnce under one request identifier.
	Attempt int
	// Seen holds the registers read, by key.
	ReadValues map[string]int64
	// Wrong is set when the answer was not to this request.
	WrongAnswer bool
	MaxAge      time.Duration
	// Sent is when the request was due; Start when it was sent.
	Due     time.Time
	Start   time.Time
	End     time.Time
	Outcome Outcome
	Error   string
}

// history collects operations from many sessions.
type history struct {
	mu         sync.Mutex
	operations []Operation
}

func (h *history) add(o Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func (h *history) all() []Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Operation(nil), h.operations...)
}

func (h *history) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}
