package rosesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywell/rosemarywell/platform/rosestandin"
)

const (
	// callPause separates a caller's requests.
	callPause = 15 * time.Millisecond
	// connectPause follows a connection that failed.
	connectPause = 100 * time.Millisecond
	// blockShare is the part of writes that are made in a transaction.
	blockShare = 0.3
)

// writer is one caller. It writes growing numbers to an item of its own and
// reads them back in the same session, which it keeps until it breaks.
type writer struct {
	soak   *soak
	item   string
	random *rand.Rand

	client   *rosestandin.Client
	at       *process
	number   int
	acked    int
	outcomes map[string]string
}

func (w *writer) run(ctx context.Context) {
	w.outcomes = make(map[string]string)
	for ctx.Err() == nil {
		if w.client == nil && !w.connect(ctx) {
			sleep(ctx, connectPause)
			continue
		}
		w.write()
		if w.client != nil {
			w.read()
		}
		sleep(ctx, callPause)
	}
	if w.client != nil {
		w.client.Close()
	}
}

func (w *writer) connect(ctx context.Context) bool {
	w.at = w.soak.processes[w.random.IntN(len(w.soak.processes))]
	client, err := rosestandin.Dial(ctx, w.at.callers, rosestandin.ReadYourWritesRoute)
	if err != nil {
		return false
	}
	w.client, w.acked = client, 0
	return true
}

// query runs one statement. A connection that ends without an answer is a
// broken promise while its process shuts down in good order.
func (w *writer) query(id, text string) (rosestandin.Reply, bool) {
	askedAt := time.Now()
	reply, err := w.client.Query(id, text)
	if err == nil {
		return reply, true
	}
	if took := time.Since(askedAt); took > w.soak.config.IdleCloseTolerance && w.at.owes() {
		w.soak.violate("%s at %s got no whole answer: %v after %v", id, w.at.name, err, took)
	}
	w.client.Close()
	w.client = nil
	return reply, false
}

func (w *writer) write() {
	w.number++
	id := fmt.Sprintf("%s-%d", w.item, w.number)
	text := fmt.Sprintf("WRITE %s %d", w.item, w.number)
	if w.random.Float64() >= blockShare {
		reply, ok := w.query(id, text)
		w.note(id, outcome(reply, ok))
		return
	}
	if reply, ok := w.query(id+"b", "BEGIN"); !ok || reply.Code != "" {
		return
	}
	reply, ok := w.query(id, text)
	if !ok || reply.Code != "" {
		w.note(id, "ABORTED")
		if ok {
			w.query(id+"r", "ROLLBACK")
		}
		return
	}
	reply, ok = w.query(id+"c", "COMMIT")
	w.note(id, outcome(reply, ok))
}

func outcome(reply rosestandin.Reply, ok bool) string {
	switch {
	case !ok:
		return "broken"
	case reply.Code != "":
		return reply.Code
	}
	return "acked"
}

func (w *writer) note(id, outcome string) {
	w.outcomes[id] = outcome
	w.soak.count(outcome)
	if outcome == "acked" {
		w.acked = w.number
	}
}

// read checks that the session sees its own last write, unless a promotion has
// rolled it back.
func (w *writer) read() {
	floor := w.acked
	reply, ok := w.query(fmt.Sprintf("%s-%dq", w.item, w.number), "READ "+w.item)
	if !ok || reply.Digest == "" || floor == 0 {
		return
	}
	seen := 0
	_, _ = fmt.Sscan(reply.Rows[0], &seen)
	if seen < floor && w.soak.group.PrimaryHasWrite(fmt.Sprintf("%s-%d", w.item, floor)) {
		w.soak.violate("%s read %d after %d was acknowledged", w.item, seen, floor)
	}
}

// judge compares what the caller was told with what the targets ran.
func (w *writer) judge() {
	for id, outcome := range w.outcomes {
		runs := w.soak.group.CommitCount(id)
		switch {
		case runs > 1:
			w.soak.violate("%s (%s) took effect %d times", id, outcome, runs)
		case rosestandin.NotApplied(outcome) && runs > 0:
			w.soak.violate("%s was refused as %s and took effect", id, outcome)
		case outcome == "acked" && runs == 0:
			w.soak.violate("%s was acknowledged and never ran", id)
		case outcome == "acked" && w.soak.group.CommittedByStalePrimary(id):
			w.soak.violate("%s was acknowledged by a replaced primary", id)
		}
	}
}
