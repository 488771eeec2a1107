package rosestack

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"

	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/rosenet"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosestore"
)

// operatorNames are the operators of a stack; each change needs both.
var operatorNames = []string{"ana", "luis"}

// OperatorKey returns the private key of one of a stack's operators.
func OperatorKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("operator of the demonstration: " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func (s *Stack) operators() rosebundle.OperatorList {
	list := rosebundle.OperatorList{Signatures: len(operatorNames)}
	for _, name := range operatorNames {
		public, _ := OperatorKey(name).Public().(ed25519.PublicKey)
		list.Operators = append(list.Operators, rosebundle.Operator{
			Name:      name,
			PublicKey: base64.StdEncoding.EncodeToString(public),
		})
	}
	return list
}

// operatorStore returns a client of the platform's store for an operator.
func (s *Stack) operatorStore() *rosestore.Client {
	place := rosenet.Host{Name: "operator", Zone: CallerZone}
	return rosestore.NewClient(rosestore.Config{Address: s.platformAt, Dialer: s.Network.Dialer(place)})
}

// proposeFirst makes the first bundle.
func (s *Stack) proposeFirst(ctx context.Context) error {
	list := s.operators()
	s.BundleContent.Operators, s.BundleContent.Signatures = list.Operators, list.Signatures
	store := s.operatorStore()
	defer store.Close()
	return rosebundle.Propose(ctx, store, sign(rosebundle.Build(s.BundleContent, rosebundle.Manifest{})))
}

// sign signs a manifest by every operator.
func sign(m rosebundle.Manifest, parts rosebundle.Parts) rosebundle.Proposal {
	for _, name := range operatorNames {
		m = m.WithSignature(name, OperatorKey(name))
	}
	return rosebundle.Proposal{Manifest: m, Parts: parts}
}

// ProposeBundle makes a changed bundle the one in force and returns its version.
// Errors are those of rosebundle.Propose.
func (s *Stack) ProposeBundle(ctx context.Context, change func(*rosebundle.Content)) (uint64, error) {
	store := s.operatorStore()
	defer store.Close()
	text, err := rosebundle.ReadCurrent(ctx, store)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	current, err := rosebundle.DecodeManifest(text)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	content, err := rosebundle.ReadContent(ctx, store, current)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	change(content)
	p := sign(rosebundle.Build(content, current))
	return p.Manifest.Version, rosebundle.Propose(ctx, store, p)
}

// BundleVersion returns the version in force at a proxy.
func (p *Proxy) BundleVersion() uint64 { return p.Daemon.BundleVersion() }
