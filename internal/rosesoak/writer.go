package rosesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywell/rosemarywell/platform/rosestandin"
)

const (
	// requestInterval is the pause between the requests of a client.
	requestInterval = 15 * time.Millisecond
	// reconnectDelay is the pause after a failed attempt to connect.
	reconnectDelay = 100 * time.Millisecond
	// transactionShare is the share of writes made in an explicit transaction.
	transactionShare = 0.3
)

// writer is one client. It writes increasing numbers to its own key and reads
// them back in the same session, which it keeps until the connection is lost.
type writer struct {
	soak   *soak
	key    string
	random *rand.Rand

	client *rosestandin.Client
	proxy  *process
	// sequence is the number last written, lastAcked the number last acknowledged
	// in this session.
	sequence  int
	lastAcked int
	// outcomes holds the outcome of each write by its ID.
	outcomes map[string]string
}

func (w *writer) run(ctx context.Context) {
	w.outcomes = make(map[string]string)
	for ctx.Err() == nil {
		if w.client == nil && !w.connect(ctx) {
			sleep(ctx, reconnectDelay)
			continue
		}
		w.write()
		if w.client != nil {
			w.checkOwnRead()
		}
		sleep(ctx, requestInterval)
	}
	if w.client != nil {
		w.client.Close()
	}
}

func (w *writer) connect(ctx context.Context) bool {
	w.proxy = w.soak.processes[w.random.IntN(len(w.soak.processes))]
	client, err := rosestandin.Dial(ctx, w.proxy.address, rosestandin.ReadYourWritesRoute)
	if err != nil {
		return false
	}
	w.client, w.lastAcked = client, 0
	return true
}

// query runs one statement. A connection that ends without an answer is a
// violation, even during a graceful shutdown, unless the proxy was killed or
// paused, or the connection ended within IdleCloseTolerance.
func (w *writer) query(id, text string) (rosestandin.Reply, bool) {
	sentAt := time.Now()
	reply, err := w.client.Query(id, text)
	if err == nil {
		return reply, true
	}
	if took := time.Since(sentAt); took > w.soak.config.IdleCloseTolerance && w.proxy.mustAnswer() {
		w.soak.addViolation("request %s at %s got no complete answer: %v after %v", id, w.proxy.name, err, took)
	}
	w.client.Close()
	w.client = nil
	return reply, false
}

func (w *writer) write() {
	w.sequence++
	id := fmt.Sprintf("%s-%d", w.key, w.sequence)
	text := fmt.Sprintf("WRITE %s %d", w.key, w.sequence)
	if w.random.Float64() >= transactionShare {
		reply, ok := w.query(id, text)
		w.record(id, writeOutcome(reply, ok))
		return
	}
	if reply, ok := w.query(id+"b", "BEGIN"); !ok || reply.Code != "" {
		return
	}
	reply, ok := w.query(id, text)
	if !ok || reply.Code != "" {
		// Without a COMMIT the write has no effect, even if the connection was lost.
		w.record(id, "ABORTED")
		if ok {
			w.query(id+"r", "ROLLBACK")
		}
		return
	}
	reply, ok = w.query(id+"c", "COMMIT")
	w.record(id, writeOutcome(reply, ok))
}

func writeOutcome(reply rosestandin.Reply, ok bool) string {
	switch {
	case !ok:
		return "broken"
	case reply.Code != "":
		return reply.Code
	}
	return "acked"
}

func (w *writer) record(id, outcome string) {
	w.outcomes[id] = outcome
	w.soak.countOutcome(outcome)
	if outcome == "acked" {
		w.lastAcked = w.sequence
	}
}

// checkOwnRead checks that the session reads its own last write, unless a
// failover has rolled it back.
func (w *writer) checkOwnRead() {
	acked := w.lastAcked
	reply, ok := w.query(fmt.Sprintf("%s-%dq", w.key, w.sequence), "READ "+w.key)
	if !ok || reply.Digest == "" || acked == 0 {
		return
	}
	seen := 0
	_, _ = fmt.Sscan(reply.Rows[0], &seen)
	if seen < acked && w.soak.group.PrimaryHasWrite(fmt.Sprintf("%s-%d", w.key, acked)) {
		w.soak.addViolation("key %s was read as %d after the write of %d was acknowledged", w.key, seen, acked)
	}
}

// checkOutcomes compares the outcomes reported to the client with the commits at
// the targets.
func (w *writer) checkOutcomes() {
	for id, outcome := range w.outcomes {
		commits := w.soak.group.CommitCount(id)
		switch {
		case commits > 1:
			w.soak.addViolation("write %s (%s) was committed %d times", id, outcome, commits)
		case rosestandin.NotApplied(outcome) && commits > 0:
			w.soak.addViolation("write %s was refused as %s but committed", id, outcome)
		case outcome == "acked" && commits == 0:
			w.soak.addViolation("write %s was acknowledged but never committed", id)
		case outcome == "acked" && w.soak.group.CommittedByStalePrimary(id):
			w.soak.addViolation("write %s was acknowledged but committed at a replaced primary", id)
		}
	}
}
