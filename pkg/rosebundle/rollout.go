package rosebundle

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Keys of the platform's store.
const (
	currentKey = "Bundle/Current"
	partPrefix = "Bundle/Parts/"
)

// maxAncestors bounds the versions that are looked through when the operators
// changed while a proxy was away.
const maxAncestors = 256

// FetchFunc returns a part by its digest.
type FetchFunc func(ctx context.Context, digest string) (string, error)

// RolloutConfig sets up a Rollout.
type RolloutConfig struct {
	// Anchors are operators' keys from settings, for a proxy that has no
	// bundle in force yet.
	TrustAnchors OperatorList
	// Apply brings a content into force.
	Apply func(*Content, Manifest)
}

// Rollout holds the bundle in force at one proxy and takes in newer ones. A
// bundle comes into force only with a higher version and the signatures that
// the one before demands, so nothing brings an older one back.
type Rollout struct {
	config RolloutConfig

	// taking holds one token while a bundle is fetched and applied.
	taking chan struct{}

	mu      sync.Mutex
	current Manifest
	parts   Parts
	since   time.Time
	last    error
}

// NewRollout returns a rollout without a bundle.
func NewRollout(config RolloutConfig) *Rollout {
	return &Rollout{config: config, parts: make(Parts), taking: make(chan struct{}, 1)}
}

// Current returns the manifest in force and since when it is.
func (r *Rollout) Current() (Manifest, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.since
}

// LastError returns why the last bundle seen was refused, or nil.
func (r *Rollout) LastError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Part returns a part for a peer: the manifest in force for an empty
// digest.
func (r *Rollout) Part(digest string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if digest == "" || r.current.Version > 0 && digest == r.current.Digest() {
		return r.current.Encode(), r.current.Version > 0
	}
	text, ok := r.parts[digest]
	return text, ok
}

// Update brings the manifest of that text into force, if it is newer and holds.
// Parts that are missing come from fetch. Errors are trace.AccessDenied for a
// bundle that isn't signed as demanded, trace.BadParameter and *FaultsError
// for one that is damaged, and those of fetch.
func (r *Rollout) Update(ctx context.Context, text string, fetch FetchFunc) error {
	select {
	case r.taking <- struct{}{}:
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "another bundle is being fetched")
	}
	defer func() { <-r.taking }()
	err := r.take(ctx, text, fetch)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = err
	return err
}

func (r *Rollout) take(ctx context.Context, text string, fetch FetchFunc) error {
	m, err := DecodeManifest(text)
	if err != nil {
		return err
	}
	r.mu.Lock()
	current, parts := r.current, r.current.used(r.parts)
	r.mu.Unlock()
	if m.Version <= current.Version {
		return nil
	}
	if err := r.trusted(ctx, m, current, parts, fetch); err != nil {
		return err
	}
	if err := gather(ctx, m, parts, fetch); err != nil {
		return err
	}
	content, err := m.Content(parts)
	if err != nil {
		return err
	}
	r.config.Apply(content, m)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current, r.parts, r.since = m, m.used(parts), time.Now()
	// Peers that are behind ask for this manifest by its digest.
	r.parts[m.Digest()] = m.Encode()
	return nil
}

// trusted checks the signatures of m against the operators in force. If these
// changed on the way, every version back to one that is in force is checked.
func (r *Rollout) trusted(ctx context.Context, m, current Manifest, parts Parts, fetch FetchFunc) error {
	if current.Version == 0 {
		return r.anchored(ctx, m, parts, fetch)
	}
	if m.Operators == current.Operators {
		list, err := current.OperatorList(parts)
		if err != nil {
			return err
		}
		return m.VerifySignatures(list)
	}
	chain, err := ancestors(ctx, m, current, fetch)
	if err != nil {
		return err
	}
	inForce := current
	for _, next := range chain {
		list, err := operatorsOf(ctx, inForce, parts, fetch)
		if err != nil {
			return err
		}
		if err := next.VerifySignatures(list); err != nil {
			return err
		}
		inForce = next
	}
	return nil
}

// anchored checks a first bundle: it must be signed as it demands itself, and
// by as many operators that the settings name as these demand.
func (r *Rollout) anchored(ctx context.Context, m Manifest, parts Parts, fetch FetchFunc) error {
	list, err := operatorsOf(ctx, m, parts, fetch)
	if err != nil {
		return err
	}
	if err := m.VerifySignatures(list); err != nil {
		return err
	}
	if err := m.VerifySignatures(r.config.TrustAnchors); err != nil {
		return trace.AccessDenied("bundle %d is not signed by the operators that this proxy's settings name: %v", m.Version, err)
	}
	return nil
}

// ancestors returns the versions after current up to m, oldest first.
func ancestors(ctx context.Context, m, current Manifest, fetch FetchFunc) ([]Manifest, error) {
	chain := []Manifest{m}
	for range maxAncestors {
		oldest := chain[0]
		if oldest.Parent == current.Digest() {
			return chain, nil
		}
		if oldest.Version <= current.Version+1 {
			return nil, trace.AccessDenied("bundle %d doesn't follow bundle %d, which is in force", m.Version, current.Version)
		}
		text, err := fetch(ctx, oldest.Parent)
		if err != nil {
			return nil, err
		}
		parent, err := DecodeManifest(text)
		if err != nil || parent.Digest() != oldest.Parent {
			return nil, trace.BadParameter("the parent of bundle %d is damaged", oldest.Version)
		}
		chain = slices.Insert(chain, 0, parent)
	}
	return nil, trace.LimitExceeded("bundle %d is more than %d versions ahead: restart the proxy", m.Version, maxAncestors)
}

func operatorsOf(ctx context.Context, m Manifest, parts Parts, fetch FetchFunc) (OperatorList, error) {
	if err := fetchPart(ctx, m.Operators, parts, fetch); err != nil {
		return OperatorList{}, err
	}
	return m.OperatorList(parts)
}

// gather fetches the parts that m names and that aren't there.
func gather(ctx context.Context, m Manifest, parts Parts, fetch FetchFunc) error {
	for {
		missing, err := m.MissingParts(parts)
		if err != nil || len(missing) == 0 {
			return err
		}
		for _, digest := range missing {
			if err := fetchPart(ctx, digest, parts, fetch); err != nil {
				return err
			}
		}
	}
}

func fetchPart(ctx context.Context, digest string, parts Parts, fetch FetchFunc) error {
	if _, ok := parts[digest]; ok {
		return nil
	}
	text, err := fetch(ctx, digest)
	if err != nil {
		return err
	}
	if Digest(text) != digest {
		return trace.BadParameter("part %s of the bundle is damaged", short(digest))
	}
	parts[digest] = text
	return nil
}

// FetchFromStore returns a Fetch that reads the platform's store.
func FetchFromStore(store rosemary.Store) FetchFunc {
	return func(ctx context.Context, digest string) (string, error) {
		entry, err := store.Get(ctx, partPrefix+digest)
		return string(entry.Value), err
	}
}

// ReadCurrent returns the text of the manifest in the store. Errors are
// trace.NotFound before the first bundle, and trace.ConnectionProblem.
func ReadCurrent(ctx context.Context, store rosemary.Store) (string, error) {
	entry, err := store.Get(ctx, currentKey)
	return string(entry.Value), err
}

// WatchCurrent sends the text of the manifest in the store at each change.
func WatchCurrent(ctx context.Context, store rosemary.Store) (<-chan rosemary.Entry, error) {
	return store.Watch(ctx, currentKey)
}

// Proposal is a signed manifest with its parts, as operators pass it around.
type Proposal struct {
	Manifest Manifest
	Parts    Parts
}

// EncodeProposal returns the proposal as text.
func EncodeProposal(p Proposal) string {
	text, _ := json.MarshalIndent(p, "", "  ")
	return string(text) + "\n"
}

// DecodeProposal reads what EncodeProposal writes.
func DecodeProposal(text string) (Proposal, error) {
	var p Proposal
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return p, trace.BadParameter("not a bundle proposal; make one with rosemary bundle new: %v", err)
	}
	for digest, part := range p.Parts {
		if Digest(part) != digest {
			return p, trace.BadParameter("part %s of the proposal is damaged; make it anew with rosemary bundle new", short(digest))
		}
	}
	return p, nil
}

// ConflictError tells an operator that another bundle was accepted first.
type ConflictError struct {
	Accepted Manifest
}

// Error names the winner and the remedy.
func (e *ConflictError) Error() string {
	return "bundle " + e.Accepted.String() + " was accepted first; make the change anew on top of it: rosemary bundle new, sign, propose"
}

// Propose makes the proposal the bundle in force by compare-and-swap from its
// parent. A lost answer is made up for by reading back. Errors are
// *RacedError, trace.AccessDenied, *FaultsError and trace.ConnectionProblem,
// after which the same proposal may be made again.
func Propose(ctx context.Context, store rosemary.Store, p Proposal) error {
	content, err := p.Manifest.Content(p.Parts)
	if err != nil {
		return err
	}
	entry, err := store.Get(ctx, currentKey)
	if err != nil && !trace.IsNotFound(err) {
		return err
	}
	current, parts, err := readAccepted(ctx, store, entry)
	if err != nil {
		return err
	}
	if current.Version > 0 && current.Digest() == p.Manifest.Digest() {
		return nil
	}
	if err := mayFollow(p, content, current, parts); err != nil {
		return err
	}
	if err := upload(ctx, store, p, parts); err != nil {
		return err
	}
	written, err := store.CompareAndSwap(ctx, currentKey, entry.Revision, []byte(p.Manifest.Encode()))
	if err == nil && written {
		return nil
	}
	return readBack(ctx, store, p, err)
}

// readAccepted returns the manifest of an entry and its parts.
func readAccepted(ctx context.Context, store rosemary.Store, entry rosemary.Entry) (Manifest, Parts, error) {
	parts := make(Parts)
	if entry.Revision == 0 {
		return Manifest{}, parts, nil
	}
	m, err := DecodeManifest(string(entry.Value))
	if err != nil {
		return m, parts, err
	}
	return m, parts, gather(ctx, m, parts, FetchFromStore(store))
}

// mayFollow checks that a proposal is the next version after current.
func mayFollow(p Proposal, content *Content, current Manifest, parts Parts) error {
	list := OperatorList{content.Operators, content.Signatures}
	if current.Version > 0 {
		if p.Manifest.Parent != current.Digest() || p.Manifest.Version != current.Version+1 {
			return &ConflictError{Accepted: current}
		}
		var err error
		if list, err = current.OperatorList(parts); err != nil {
			return err
		}
		now, err := current.Content(parts)
		if err != nil {
			return err
		}
		if faults := CheckChange(now, content); len(faults) > 0 {
			return &ValidationError{Faults: faults}
		}
	} else if p.Manifest.Version != 1 || p.Manifest.Parent != "" {
		return trace.BadParameter("there is no bundle yet: the first one is version 1; make it with rosemary bundle new -first")
	}
	return p.Manifest.VerifySignatures(list)
}

// upload writes the parts that the store lacks, and the manifest by digest.
func upload(ctx context.Context, store rosemary.Store, p Proposal, known Parts) error {
	parts := p.Manifest.used(p.Parts)
	parts[p.Manifest.Digest()] = p.Manifest.Encode()
	for digest, text := range parts {
		if _, there := known[digest]; there {
			continue
		}
		if _, err := store.CompareAndSwap(ctx, partPrefix+digest, 0, []byte(text)); err != nil {
			return trace.Wrap(err, "upload part %s; propose again", short(digest))
		}
	}
	return nil
}

// readBack finds out what became of a swap that failed or got no answer.
func readBack(ctx context.Context, store rosemary.Store, p Proposal, cause error) error {
	entry, err := store.Get(ctx, currentKey)
	if err != nil {
		return trace.ConnectionProblem(cause, "the store did not tell whether the bundle was accepted; propose it again")
	}
	winner, err := DecodeManifest(string(entry.Value))
	if err != nil {
		return err
	}
	switch {
	case winner.Digest() == p.Manifest.Digest(), winner.Parent == p.Manifest.Digest():
		return nil
	case winner.Version >= p.Manifest.Version:
		return &ConflictError{Accepted: winner}
	}
	return trace.ConnectionProblem(cause, "the bundle was not accepted; propose it again")
}

// ReadContent returns what the manifest names, from the store.
func ReadContent(ctx context.Context, store rosemary.Store, m Manifest) (*Content, error) {
	parts := make(Parts)
	if err := gather(ctx, m, parts, FetchFromStore(store)); err != nil {
		return nil, err
	}
	return m.Content(parts)
}
