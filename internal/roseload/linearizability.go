package roseload

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// sortedByStart returns operations in the order in which they were sent.
func sortedByStart(operations []Operation) []Operation {
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b Operation) int { return a.Start.Compare(b.Start) })
	return sorted
}

// registerInput is the input of an operation that sets a register.
type registerInput struct {
	value int64
	// writeOnly is set for a write, which does not read the register.
	writeOnly bool
}

// registerOutput is the output of an operation that sets a register. If the
// outcome is unknown, the value read is ignored.
type registerOutput struct {
	readValue int64
	unknown   bool
}

// registerModel is the sequential specification of a register. An operation of
// unknown outcome leads to both possible states.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		in, out := input.(registerInput), output.(registerOutput)
		switch {
		case out.unknown:
			return []any{state, in.value}
		case in.writeOnly || state.(int64) == out.readValue:
			return []any{in.value}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizabilityTimeout bounds the check of one register. A check that runs
// into it does not count as a violation.
const linearizabilityTimeout = 20 * time.Second

// checkRegisters checks with porcupine that the writes and swaps of each register
// are linearizable. After a lost or repeated swap, a later swap reads a value
// that does not fit. Reads are left out, as their classes allow older values.
func (f *findings) checkRegisters(database string, operations []Operation) {
	histories := make(map[string][]porcupine.Operation)
	clients := make(map[string]int)
	for _, o := range sortedByStart(operations) {
		if o.Kind != KindSwap && o.Kind != KindWrite || o.Outcome == OutcomeNotRun || o.Outcome == OutcomeDuplicate {
			continue
		}
		if _, known := clients[o.Session]; !known {
			clients[o.Session] = len(clients)
		}
		out := registerOutput{readValue: o.ReadValues[o.Key], unknown: o.Outcome != OutcomeAnswered}
		end := o.End.UnixNano()
		if out.unknown {
			end = farFuture
		}
		histories[o.Key] = append(histories[o.Key], porcupine.Operation{
			ClientId: clients[o.Session],
			Input:    registerInput{value: o.Value, writeOnly: o.Kind == KindWrite},
			Call:     o.Start.UnixNano(),
			Output:   out,
			Return:   end,
		})
	}
	keys := make([]string, 0, len(histories))
	for key := range histories {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, cmp.Compare)
	model := registerModel.ToModel()
	for _, key := range keys {
		if porcupine.CheckOperationsTimeout(model, histories[key], linearizabilityTimeout) == porcupine.Illegal {
			f.add(&f.NotLinearizable, "operations on register %s of database %s are not linearizable", key, database)
		}
	}
}

// farFuture is the return time of operations with an unknown outcome: they may
// take effect at any later time.
const farFuture = int64(1) << 62
