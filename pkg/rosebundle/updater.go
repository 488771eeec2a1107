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

// Keys in the platform's store.
const (
	currentKey = "Bundle/Current"
	partPrefix = "Bundle/Parts/"
)

// maxAncestors bounds the versions fetched to verify a chain of operator
// changes that a proxy has missed.
const maxAncestors = 256

// FetchFunc returns a part or a manifest by its digest.
type FetchFunc func(ctx context.Context, digest string) (string, error)

// UpdaterConfig configures an Updater.
type UpdaterConfig struct {
	// TrustAnchors are the operators from the settings, for a proxy that has no
	// bundle in force yet.
	TrustAnchors OperatorList
	// Apply puts content into force.
	Apply func(*Content, Manifest)
}

// Updater holds the bundle in force at one proxy and updates it. A bundle comes
// into force only with a higher version and the signatures that its predecessor
// requires, so an older one can't be replayed.
type Updater struct {
	config UpdaterConfig

	// updating is a semaphore held while a bundle is fetched and applied.
	updating chan struct{}

	mu          sync.Mutex
	current     Manifest
	parts       Parts
	activeSince time.Time
	lastErr     error
}

// NewUpdater returns an updater without a bundle.
func NewUpdater(config UpdaterConfig) *Updater {
	return &Updater{config: config, parts: make(Parts), updating: make(chan struct{}, 1)}
}

// Current returns the manifest in force and the time it came into force.
func (u *Updater) Current() (Manifest, time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current, u.activeSince
}

// LastError returns why the last bundle seen was refused, or nil.
func (u *Updater) LastError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastErr
}

// Part returns a part for a peer, or the manifest in force for an empty digest.
func (u *Updater) Part(digest string) (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if digest == "" || u.current.Version > 0 && digest == u.current.Digest() {
		return u.current.Encode(), u.current.Version > 0
	}
	text, ok := u.parts[digest]
	return text, ok
}

// Update puts the encoded manifest into force if it is newer and valid. Missing
// parts come from fetch. Errors are trace.AccessDenied for a bundle without the
// required signatures, trace.BadParameter and *ValidationError for an invalid
// one, trace.ConnectionProblem when ctx ends during another update, and those
// of fetch.
func (u *Updater) Update(ctx context.Context, text string, fetch FetchFunc) error {
	select {
	case u.updating <- struct{}{}:
	case <-ctx.Done():
		return trace.ConnectionProblem(ctx.Err(), "gave up waiting for the update to another bundle")
	}
	defer func() { <-u.updating }()
	err := u.update(ctx, text, fetch)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastErr = err
	return err
}

func (u *Updater) update(ctx context.Context, text string, fetch FetchFunc) error {
	m, err := DecodeManifest(text)
	if err != nil {
		return err
	}
	u.mu.Lock()
	current, parts := u.current, u.current.referencedParts(u.parts)
	u.mu.Unlock()
	if m.Version <= current.Version {
		return nil
	}
	if err := u.verify(ctx, m, current, parts, fetch); err != nil {
		return err
	}
	if err := fetchMissing(ctx, m, parts, fetch); err != nil {
		return err
	}
	content, err := m.Content(parts)
	if err != nil {
		return err
	}
	u.config.Apply(content, m)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.current, u.parts, u.activeSince = m, m.referencedParts(parts), time.Now()
	// Peers that are behind request this manifest by its digest.
	u.parts[m.Digest()] = m.Encode()
	return nil
}

// verify checks the signatures of m against the operators in force. If the
// operators changed since then, every version in between is checked against its
// predecessor's operators.
func (u *Updater) verify(ctx context.Context, m, current Manifest, parts Parts, fetch FetchFunc) error {
	if current.Version == 0 {
		return u.verifyFirst(ctx, m, parts, fetch)
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
		list, err := fetchOperators(ctx, inForce, parts, fetch)
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

// verifyFirst checks a first bundle: it must have the signatures that it
// requires itself, and those that the trust anchors require.
func (u *Updater) verifyFirst(ctx context.Context, m Manifest, parts Parts, fetch FetchFunc) error {
	list, err := fetchOperators(ctx, m, parts, fetch)
	if err != nil {
		return err
	}
	if err := m.VerifySignatures(list); err != nil {
		return err
	}
	if err := m.VerifySignatures(u.config.TrustAnchors); err != nil {
		return trace.AccessDenied("bundle %d is not signed by the operators in this proxy's settings: %v", m.Version, err)
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
			return nil, trace.AccessDenied("bundle %d is not a successor of bundle %d, which is in force", m.Version, current.Version)
		}
		text, err := fetch(ctx, oldest.Parent)
		if err != nil {
			return nil, err
		}
		parent, err := DecodeManifest(text)
		if err != nil || parent.Digest() != oldest.Parent {
			return nil, trace.BadParameter("the parent manifest of bundle %d is invalid or does not match its digest", oldest.Version)
		}
		chain = slices.Insert(chain, 0, parent)
	}
	return nil, trace.LimitExceeded("bundle %d is more than %d versions ahead of the one in force: restart the proxy to verify it against the operators in its settings", m.Version, maxAncestors)
}

func fetchOperators(ctx context.Context, m Manifest, parts Parts, fetch FetchFunc) (OperatorList, error) {
	if err := fetchPart(ctx, m.Operators, parts, fetch); err != nil {
		return OperatorList{}, err
	}
	return m.OperatorList(parts)
}

// fetchMissing fetches the parts that m refers to and parts lacks.
func fetchMissing(ctx context.Context, m Manifest, parts Parts, fetch FetchFunc) error {
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
		return trace.BadParameter("bundle part %s does not match its digest", shortDigest(digest))
	}
	parts[digest] = text
	return nil
}

// FetchFromStore returns a FetchFunc that reads the platform's store.
func FetchFromStore(store rosemary.Store) FetchFunc {
	return func(ctx context.Context, digest string) (string, error) {
		entry, err := store.Get(ctx, partPrefix+digest)
		return string(entry.Value), err
	}
}

// ReadCurrent returns the encoded manifest in the store. Errors are
// trace.NotFound before the first bundle, and trace.ConnectionProblem.
func ReadCurrent(ctx context.Context, store rosemary.Store) (string, error) {
	entry, err := store.Get(ctx, currentKey)
	return string(entry.Value), err
}

// WatchCurrent sends the entry of the manifest in the store at each change.
func WatchCurrent(ctx context.Context, store rosemary.Store) (<-chan rosemary.Entry, error) {
	return store.Watch(ctx, currentKey)
}

// Proposal is a manifest with its parts, which operators pass on for signing.
type Proposal struct {
	Manifest Manifest
	Parts    Parts
}

// EncodeProposal returns the proposal as text.
func EncodeProposal(p Proposal) string {
	text, _ := json.MarshalIndent(p, "", "  ")
	return string(text) + "\n"
}

// DecodeProposal reads the format that EncodeProposal writes.
func DecodeProposal(text string) (Proposal, error) {
	var p Proposal
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return p, trace.BadParameter("not a bundle proposal; create one with rosemary bundle new: %v", err)
	}
	for digest, part := range p.Parts {
		if Digest(part) != digest {
			return p, trace.BadParameter("part %s of the proposal does not match its digest; create the proposal again with rosemary bundle new", shortDigest(digest))
		}
	}
	return p, nil
}

// ConflictError reports that another bundle was accepted first.
type ConflictError struct {
	Accepted Manifest
}

// Error names the accepted bundle and the remedy.
func (e *ConflictError) Error() string {
	return "bundle " + e.Accepted.String() + " was accepted first; redo the change on top of it: rosemary bundle new, sign, propose"
}

// Propose writes the proposal to the store by compare-and-swap, provided that
// its parent is the bundle there. If the answer is lost, the outcome is read
// back. Errors are *ConflictError, trace.AccessDenied, *ValidationError and
// trace.ConnectionProblem, after which the same proposal can be submitted again.
func Propose(ctx context.Context, store rosemary.Store, p Proposal) error {
	content, err := p.Manifest.Content(p.Parts)
	if err != nil {
		return err
	}
	entry, err := store.Get(ctx, currentKey)
	if err != nil && !trace.IsNotFound(err) {
		return err
	}
	current, parts, err := readManifest(ctx, store, entry)
	if err != nil {
		return err
	}
	if current.Version > 0 && current.Digest() == p.Manifest.Digest() {
		return nil
	}
	if err := checkSuccessor(p, content, current, parts); err != nil {
		return err
	}
	if err := uploadParts(ctx, store, p, parts); err != nil {
		return err
	}
	written, err := store.CompareAndSwap(ctx, currentKey, entry.Revision, []byte(p.Manifest.Encode()))
	if err == nil && written {
		return nil
	}
	return readBack(ctx, store, p, err)
}

// readManifest decodes the manifest of a store entry and fetches its parts.
func readManifest(ctx context.Context, store rosemary.Store, entry rosemary.Entry) (Manifest, Parts, error) {
	parts := make(Parts)
	if entry.Revision == 0 {
		return Manifest{}, parts, nil
	}
	m, err := DecodeManifest(string(entry.Value))
	if err != nil {
		return m, parts, err
	}
	return m, parts, fetchMissing(ctx, m, parts, FetchFromStore(store))
}

// checkSuccessor checks that a proposal is a valid next version after current.
func checkSuccessor(p Proposal, content *Content, current Manifest, parts Parts) error {
	list := OperatorList{content.Operators, content.Signatures}
	if current.Version > 0 {
		if p.Manifest.Parent != current.Digest() || p.Manifest.Version != current.Version+1 {
			return &ConflictError{Accepted: current}
		}
		var err error
		if list, err = current.OperatorList(parts); err != nil {
			return err
		}
		currentContent, err := current.Content(parts)
		if err != nil {
			return err
		}
		if faults := CheckChange(currentContent, content); len(faults) > 0 {
			return &ValidationError{Faults: faults}
		}
	} else if p.Manifest.Version != 1 || p.Manifest.Parent != "" {
		return trace.BadParameter("there is no bundle yet, and the first one must be version 1; create it with rosemary bundle new -first")
	}
	return p.Manifest.VerifySignatures(list)
}

// uploadParts writes the parts that are not among the stored ones, and the
// manifest under its digest.
func uploadParts(ctx context.Context, store rosemary.Store, p Proposal, stored Parts) error {
	parts := p.Manifest.referencedParts(p.Parts)
	parts[p.Manifest.Digest()] = p.Manifest.Encode()
	for digest, text := range parts {
		if _, found := stored[digest]; found {
			continue
		}
		if _, err := store.CompareAndSwap(ctx, partPrefix+digest, 0, []byte(text)); err != nil {
			return trace.Wrap(err, "upload bundle part %s; propose the bundle again", shortDigest(digest))
		}
	}
	return nil
}

// readBack determines the outcome of a swap that failed or got no answer.
func readBack(ctx context.Context, store rosemary.Store, p Proposal, cause error) error {
	entry, err := store.Get(ctx, currentKey)
	if err != nil {
		return trace.ConnectionProblem(cause, "the store did not confirm whether the bundle was accepted; propose it again")
	}
	accepted, err := DecodeManifest(string(entry.Value))
	if err != nil {
		return err
	}
	switch {
	case accepted.Digest() == p.Manifest.Digest(), accepted.Parent == p.Manifest.Digest():
		return nil
	case accepted.Version >= p.Manifest.Version:
		return &ConflictError{Accepted: accepted}
	}
	return trace.ConnectionProblem(cause, "the bundle was not accepted; propose it again")
}

// ReadContent returns the content of a manifest, with its parts from the store.
func ReadContent(ctx context.Context, store rosemary.Store, m Manifest) (*Content, error) {
	parts := make(Parts)
	if err := fetchMissing(ctx, m, parts, FetchFromStore(store)); err != nil {
		return nil, err
	}
	return m.Content(parts)
}
