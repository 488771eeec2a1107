package roseload

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// inOrder sorts operations by the time at which they were sent.
func inOrder(operations []Operation) []Operation {
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b Operation) int { return a.Start.Compare(b.Start) })
	return sorted
}

// swapInput is a transaction that reads a register and sets it.
type swapInput struct {
	value int64
	// plain sets the register without reading it.
	plain bool
}

// swapOutput is what the transaction read; unknown outcomes read nothing.
type swapOutput struct {
	seen    int64
	unknown bool
}

// swapModel is a register under swaps. A swap of unknown outcome may have run
// or not: both states are kept.
var swapModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		in, out := input.(swapInput), output.(swapOutput)
		switch {
		case out.unknown:
			return []any{state, in.value}
		case in.plain || state.(int64) == out.seen:
			return []any{in.value}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearLimit bounds the search for one register.
const linearLimit = 20 * time.Second

// checkRegisters checks with porcupine that the transactions on each register
// are linearizable: a lost or a repeated one breaks the chain of values read.
func (f *findings) checkRegisters(database string, operations []Operation) {
	histories := make(map[string][]porcupine.Operation)
	clients := make(map[string]int)
	for _, o := range inOrder(operations) {
		if o.Kind != KindSwap && o.Kind != KindWrite || o.Outcome == OutcomeNotRun || o.Outcome == OutcomeDuplicate {
			continue
		}
		if _, known := clients[o.Session]; !known {
			clients[o.Session] = len(clients)
		}
		out := swapOutput{seen: o.ReadValues[o.Key], unknown: o.Outcome != OutcomeAnswered}
		end := o.End.UnixNano()
		if out.unknown {
			end = farFuture
		}
		histories[o.Key] = append(histories[o.Key], porcupine.Operation{
			ClientId: clients[o.Session],
			Input:    swapInput{value: o.Value, plain: o.Kind == KindWrite},
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
	model := swapModel.ToModel()
	for _, key := range keys {
		if porcupine.CheckOperationsTimeout(model, histories[key], linearLimit) == porcupine.Illegal {
			f.note(&f.NotLinearizable, "register %s of %s is not linearizable", key, database)
		}
	}
}

// farFuture is later than any operation of a run.
const farFuture = int64(1) << 62
