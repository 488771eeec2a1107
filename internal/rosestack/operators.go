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

// operatorNames are the operators of a stack. A change needs both signatures.
var operatorNames = []string{"ana", "luis"}

// OperatorKey returns the private key of one of a stack's operators. It depends
// only on the name, so that it is the same in every run, and is not secret.
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

// newOperatorStore returns a client of the platform's store for an operator.
func (s *Stack) newOperatorStore() *rosestore.Client {
	host := rosenet.Host{Name: "operator", Zone: CallerZone}
	return rosestore.NewClient(rosestore.Config{Address: s.platformAddress, Dialer: s.Network.Dialer(host)})
}

// proposeInitial signs and proposes the first bundle.
func (s *Stack) proposeInitial(ctx context.Context) error {
	list := s.operators()
	s.InitialBundle.Operators, s.InitialBundle.Signatures = list.Operators, list.Signatures
	store := s.newOperatorStore()
	defer store.Close()
	return rosebundle.Propose(ctx, store, sign(rosebundle.Build(s.InitialBundle, rosebundle.Manifest{})))
}

// sign adds every operator's signature to the manifest.
func sign(m rosebundle.Manifest, parts rosebundle.Parts) rosebundle.Proposal {
	for _, name := range operatorNames {
		m = m.WithSignature(name, OperatorKey(name))
	}
	return rosebundle.Proposal{Manifest: m, Parts: parts}
}

// ProposeBundle applies change to the current bundle, proposes the result and
// returns its version. Errors of rosebundle.Propose are returned as they are.
func (s *Stack) ProposeBundle(ctx context.Context, change func(*rosebundle.Content)) (uint64, error) {
	store := s.newOperatorStore()
	defer store.Close()
	encoded, err := rosebundle.ReadCurrent(ctx, store)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	current, err := rosebundle.DecodeManifest(encoded)
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

// BundleVersion returns the version of the bundle in force at the proxy, or zero
// without one.
func (p *Proxy) BundleVersion() uint64 { return p.Daemon.BundleVersion() }
