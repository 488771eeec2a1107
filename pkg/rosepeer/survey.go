package rosepeer

import (
	"context"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// What a question may be about.
const (
	// AboutReach asks whether a target answers the peer.
	AboutReachability = "Reach"
	// AboutStop has the peer stop relying on the primary of a term.
	AboutPrimaryRevoked = "Stop"
	// AboutSuspicion tells that a primary has just not answered the sender.
	AboutPrimarySuspected = "Suspicion"
	// AboutComplaint tells that the sender can't reach a primary.
	AboutPrimaryUnreachable = "Complaint"
	// AboutFacts asks for the statuses that the peer has sampled.
	AboutTargetStatuses = "Facts"
	// AboutAbstain asks a peer that can't reach the store either not to
	// claim a duty for a while.
	AboutAbstain = "Abstain"
)

// PeerReply is one peer's reply.
type PeerReply struct {
	From rosemary.ProxyID
	rosewire.Reply
}

// QueryAll asks every linked peer, and returns their replies once all have come
// or ctx ends, and the peers that were asked.
func (m *Mesh) QueryAll(ctx context.Context, question rosewire.Question) ([]PeerReply, []rosemary.ProxyID) {
	return m.survey(ctx, question, m.LinkedPeers())
}

// Query asks one peer. It reports false without a reply before ctx ends.
func (m *Mesh) Query(ctx context.Context, to rosemary.ProxyID, question rosewire.Question) (rosewire.Reply, bool) {
	replies, _ := m.survey(ctx, question, []rosemary.ProxyID{to})
	if len(replies) == 0 {
		return rosewire.Reply{}, false
	}
	return replies[0].Reply, true
}

func (m *Mesh) survey(ctx context.Context, question rosewire.Question, asked []rosemary.ProxyID) ([]PeerReply, []rosemary.ProxyID) {
	m.mu.Lock()
	m.asked++
	question.Number = m.asked
	replies := make(chan PeerReply, len(asked))
	m.surveys[question.Number] = replies
	for _, id := range asked {
		m.send(Envelope{id, rosewire.Message{Question: &question}})
	}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.surveys, question.Number)
		m.mu.Unlock()
	}()
	var got []PeerReply
	for len(got) < len(asked) {
		select {
		case reply := <-replies:
			got = append(got, reply)
		case <-ctx.Done():
			return got, asked
		}
	}
	return got, asked
}

// answer replies to a peer's question.
func (m *Mesh) answer(from rosemary.ProxyID, question rosewire.Question) {
	if m.config.OnQuestion == nil {
		return
	}
	m.tasks.Go(func() {
		reply := m.config.OnQuestion(from, question)
		reply.Number = question.Number
		m.sendTo(from, rosewire.Message{Reply: &reply})
	})
}

// replied passes a reply on to its survey. One that came twice is dropped.
func (m *Mesh) replied(from rosemary.ProxyID, reply rosewire.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.surveys[reply.Number] <- PeerReply{from, reply}:
	default:
	}
}
