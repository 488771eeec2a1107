package rosepeer

import (
	"context"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

// Values of Question.About.
const (
	// AboutReachability asks whether the peer can reach a target.
	AboutReachability = "Reach"
	// AboutPrimaryRevoked asks the peer to stop relying on the primary of a
	// term.
	AboutPrimaryRevoked = "Stop"
	// AboutPrimarySuspected reports that a primary did not answer a request of
	// the sender, so that the peer samples it at once.
	AboutPrimarySuspected = "Suspicion"
	// AboutPrimaryUnreachable reports that the sender can't reach a primary,
	// which counts towards its replacement.
	AboutPrimaryUnreachable = "Complaint"
	// AboutTargetStatuses asks for the target statuses that the peer has
	// sampled.
	AboutTargetStatuses = "Facts"
	// AboutTargets asks for the registered targets that the peer knows, if they were read
	// from the store later than those of the sender.
	AboutTargets = "Targets"
	// AboutTargetSet asks the peer to go by a target set, unless it goes by a newer one.
	AboutTargetSet = "TargetSet"
	// AboutStore asks for what the peer has read from the store: the registered targets
	// and the version of the configuration, with their ages.
	AboutStore = "Store"
	// AboutLockReleased tells the peer that the sender has released a lock which the
	// peer is the first to claim.
	AboutLockReleased = "LockReleased"
	// AboutGuarantee asks the holder of a lock for how long it guarantees that the
	// primary of a term isn't replaced.
	AboutGuarantee = "Guarantee"
	// AboutLastPrimary asks for the status of the newest primary that the peer knew.
	AboutLastPrimary = "LastPrimary"
	// AboutNoSuccessor tells the peer that no target is proved to hold every acknowledged commit of
	// a term, so that it refuses at once what needs the primary.
	AboutNoSuccessor = "NoSuccessor"
	// AboutZoneSuspected tells a peer of the same availability zone that the sender has
	// just lost targets, so that the peer checks whether the zone is cut off.
	AboutZoneSuspected = "ZoneSuspicion"
	// AboutZoneLost tells a peer of the same availability zone that no proxy of another
	// zone answers the sender.
	AboutZoneLost = "ZoneLoss"
	// AboutCaps asks a host of usage caps to grant the sender tokens of teams.
	AboutCaps = "Caps"
	// AboutAbstain asks the peer not to claim a lock for a while if it, like
	// the sender, can't reach the store, and holds none of the sender's locks by a
	// later claim.
	AboutAbstain = "Abstain"
)

// PeerReply is one peer's reply.
type PeerReply struct {
	From rosemary.ProxyID
	rosewire.Reply
}

// QueryAll asks every linked peer. It returns the replies once all have arrived
// or ctx ends, and the peers that were asked.
func (m *Mesh) QueryAll(ctx context.Context, question rosewire.Question) ([]PeerReply, []rosemary.ProxyID) {
	return m.queryPeers(ctx, question, m.LinkedPeers(), nil)
}

// QueryUntil asks some peers. It returns the replies once they are enough, all have
// arrived, or ctx ends.
func (m *Mesh) QueryUntil(ctx context.Context, question rosewire.Question, asked []rosemary.ProxyID, enough func([]PeerReply) bool) []PeerReply {
	replies, _ := m.queryPeers(ctx, question, asked, enough)
	return replies
}

// Query asks one peer. It returns false if no reply arrives before ctx ends.
func (m *Mesh) Query(ctx context.Context, to rosemary.ProxyID, question rosewire.Question) (rosewire.Reply, bool) {
	replies, _ := m.queryPeers(ctx, question, []rosemary.ProxyID{to}, nil)
	if len(replies) == 0 {
		return rosewire.Reply{}, false
	}
	return replies[0].Reply, true
}

func (m *Mesh) queryPeers(ctx context.Context, question rosewire.Question, asked []rosemary.ProxyID, enough func([]PeerReply) bool) ([]PeerReply, []rosemary.ProxyID) {
	m.mu.Lock()
	m.lastQuery++
	question.Number = m.lastQuery
	replies := make(chan PeerReply, len(asked))
	m.queries[question.Number] = replies
	for _, id := range asked {
		m.send(Envelope{id, rosewire.Message{Question: &question}})
	}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.queries, question.Number)
		m.mu.Unlock()
	}()
	var received []PeerReply
	for len(received) < len(asked) {
		select {
		case reply := <-replies:
			received = append(received, reply)
			if enough != nil && enough(received) {
				return received, asked
			}
		case <-ctx.Done():
			return received, asked
		}
	}
	return received, asked
}

// answerQuestion replies to a peer's question in the background.
func (m *Mesh) answerQuestion(from rosemary.ProxyID, question rosewire.Question) {
	if m.config.OnQuestion == nil {
		return
	}
	m.tasks.Go(func() {
		reply := m.config.OnQuestion(from, question)
		reply.Number = question.Number
		m.sendTo(from, rosewire.Message{Reply: &reply})
	})
}

// deliverReply passes a reply to the query that waits for it. Replies to a
// finished query and duplicates beyond its buffer are dropped.
func (m *Mesh) deliverReply(from rosemary.ProxyID, reply rosewire.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.queries[reply.Number] <- PeerReply{from, reply}:
	default:
	}
}
