package rosenode

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/rosemarywell/rosemarywell/pkg/rosegroup"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosepeer"
	"github.com/rosemarywell/rosemarywell/pkg/rosewire"
)

const (
	// targetSetPath is the HTTP path at which a proxy answers a rosewire.Question about a target set
	// of a proxy that it isn't linked to.
	targetSetPath = "/target-set"
	// maxTargetSetBytes bounds such a question and its reply.
	maxTargetSetBytes = 64 << 10
	// maxDirectQuestions bounds how many proxies are asked at once without a link.
	maxDirectQuestions = 32
)

// adoptTargetSet has a group go by a target set.
func (n *Node) adoptTargetSet(name string, set rosegroup.TargetSet) {
	if g, found := n.Group(name); found {
		g.AdoptTargetSet(set)
	}
}

// learnTargetSets has the groups go by the target sets that another proxy goes by.
func (n *Node) learnTargetSets(sets []rosewire.TargetSet) {
	for _, s := range sets {
		n.locks.ObserveTargetSet(s.Group, decodeTargetSet(s))
	}
	n.targetSetsKnown.Store(true)
}

// knowsTargetSets reports whether this proxy has read the target sets since it started, or has got
// them from another one. Before, it may not tell which targets prove a lease.
func (n *Node) knowsTargetSets() bool {
	if n.targetSetsKnown.Load() {
		return true
	}
	known := n.locks.HasListed()
	n.targetSetsKnown.Store(known)
	return known
}

// answerTargetSet goes by the target set of a question, unless a newer one is known.
func (n *Node) answerTargetSet(question rosewire.Question) rosewire.Reply {
	if question.Set == nil {
		return rosewire.Reply{}
	}
	set := decodeTargetSet(*question.Set)
	n.locks.ObserveTargetSet(question.Set.Group, set)
	known := n.locks.TargetSet(question.Set.Group)
	return rosewire.Reply{Yes: known.Version.Compare(set.Version) >= 0, Known: true}
}

func (n *Node) serveTargetSet(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTargetSetBytes))
	var question rosewire.Question
	if err != nil || cbor.Unmarshal(body, &question) != nil || question.About != rosepeer.AboutTargetSet {
		http.Error(w, "the body isn't a question about a target set", http.StatusBadRequest)
		return
	}
	reply, err := cbor.Marshal(n.answerTargetSet(question))
	if err != nil {
		http.Error(w, "the reply can't be encoded", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(reply)
}

// askDirectly asks a proxy on a connection of its own to go by a target set, and reports whether it
// does.
func (p peers) askDirectly(ctx context.Context, address string, question rosewire.Question) (bool, error) {
	body, err := cbor.Marshal(question)
	if err != nil {
		return false, trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+targetSetPath, bytes.NewReader(body))
	if err != nil {
		return false, trace.Wrap(err)
	}
	client := http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return p.dialer.Dial(ctx, address) },
		DisableKeepAlives: true,
	}}
	response, err := client.Do(request)
	if err != nil {
		return false, trace.ConnectionProblem(err, "the proxy at %s didn't answer", address)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxTargetSetBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return false, trace.ConnectionProblem(err, "the proxy at %s responded %s", address, response.Status)
	}
	var reply rosewire.Reply
	if err := cbor.Unmarshal(content, &reply); err != nil {
		return false, trace.BadParameter("the reply of the proxy at %s can't be decoded: %v", address, err)
	}
	return reply.Yes, nil
}

// ConfirmTargetSet asks the members, and all others that live as far as is known, to go by a target
// set: over the links that there are, and directly otherwise. It returns those that do, and all
// others that live.
func (p peers) ConfirmTargetSet(ctx context.Context, group string, set rosegroup.TargetSet, members []rosemary.Member) (confirmed, required []rosemary.ProxyID) {
	encoded := encodeTargetSet(group, set)
	question := rosewire.Question{About: rosepeer.AboutTargetSet, Group: group, Set: &encoded}
	addresses := make(map[rosemary.ProxyID]string, len(members))
	for _, m := range append(p.mesh.LiveMembers(), members...) {
		addresses[m.Proxy] = m.Address
	}
	delete(addresses, p.self)
	linked := p.mesh.LinkedPeers()
	for _, id := range linked {
		delete(addresses, id)
	}
	var mu sync.Mutex
	var tasks errgroup.Group
	tasks.SetLimit(maxDirectQuestions)
	tasks.Go(func() error {
		agreed := agreedPeers(p.mesh.QueryUntil(ctx, question, linked, nil))
		mu.Lock()
		defer mu.Unlock()
		confirmed = append(confirmed, agreed...)
		return nil
	})
	for id, address := range addresses {
		tasks.Go(func() error {
			if agreed, err := p.askDirectly(ctx, address, question); err == nil && agreed {
				mu.Lock()
				defer mu.Unlock()
				confirmed = append(confirmed, id)
			}
			return nil
		})
	}
	_ = tasks.Wait()
	return confirmed, p.others()
}

// encodeTargetSets returns the target sets that this proxy goes by.
func (n *Node) encodeTargetSets() []rosewire.TargetSet {
	var encoded []rosewire.TargetSet
	for group, set := range n.locks.TargetSets() {
		encoded = append(encoded, encodeTargetSet(group, set))
	}
	return encoded
}

func encodeTargetSet(group string, set rosegroup.TargetSet) rosewire.TargetSet {
	encoded := rosewire.TargetSet{Group: group, Generation: uint64(set.Version.Generation), Number: set.Version.Number}
	for _, id := range set.Members {
		encoded.Members = append(encoded.Members, string(id))
	}
	return encoded
}

func decodeTargetSet(s rosewire.TargetSet) rosegroup.TargetSet {
	set := rosegroup.TargetSet{Version: rosegroup.SetVersion{Generation: int64(s.Generation), Number: s.Number}}
	for _, id := range s.Members {
		set.Members = append(set.Members, rosemary.TargetID(id))
	}
	return set
}
