package rosebundle_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// memoryStore is an in-memory store that can lose answers.
type memoryStore struct {
	entries  map[string]rosemary.Entry
	revision int64
	// lostAnswers is the number of swaps whose answer is lost after they took
	// effect.
	lostAnswers int
}

func (s *memoryStore) Get(_ context.Context, key string) (rosemary.Entry, error) {
	entry, found := s.entries[key]
	if !found {
		return entry, trace.NotFound("no %s", key)
	}
	return entry, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, revision int64, value []byte) (bool, error) {
	if s.entries[key].Revision != revision {
		return false, nil
	}
	s.revision++
	s.entries[key] = rosemary.Entry{Value: value, Revision: s.revision}
	if key == "Bundle/Current" && s.lostAnswers > 0 {
		s.lostAnswers--
		return false, trace.ConnectionProblem(nil, "no answer")
	}
	return true, nil
}

func (*memoryStore) Watch(context.Context, string) (<-chan rosemary.Entry, error) { return nil, nil }

// key derives an operator's private key from the name.
func key(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func operator(name string) rosebundle.Operator {
	public, _ := key(name).Public().(ed25519.PublicKey)
	return rosebundle.Operator{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// content returns valid content that all operators must sign. Different
// weights make different versions.
func content(weight int, operators ...string) *rosebundle.Content {
	c := largeContent(2, key("ana"))
	c.Operators = nil
	for _, name := range operators {
		c.Operators = append(c.Operators, operator(name))
	}
	c.Signatures = len(operators)
	c.Classes[0].Weight = weight
	return c
}

// proposal builds the successor of parent, signed by names.
func proposal(c *rosebundle.Content, parent rosebundle.Manifest, names ...string) rosebundle.Proposal {
	m, parts := rosebundle.Build(c, parent)
	for _, name := range names {
		m = m.WithSignature(name, key(name))
	}
	return rosebundle.Proposal{Manifest: m, Parts: parts}
}

func TestPropose(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := &memoryStore{entries: make(map[string]rosemary.Entry)}
	first := proposal(content(1, "ana", "luis"), rosebundle.Manifest{}, "ana", "luis")
	c.Check(trace.IsAccessDenied(rosebundle.Propose(ctx, store, proposal(content(1, "ana", "luis"), rosebundle.Manifest{}, "ana"))), qt.IsTrue)
	c.Assert(rosebundle.Propose(ctx, store, first), qt.IsNil)
	c.Assert(rosebundle.Propose(ctx, store, first), qt.IsNil, qt.Commentf("same proposal again"))

	store.lostAnswers = 1
	accepted := proposal(content(2, "ana", "luis"), first.Manifest, "ana", "luis")
	c.Assert(rosebundle.Propose(ctx, store, accepted), qt.IsNil, qt.Commentf("answer lost"))
	var conflict *rosebundle.ConflictError
	err := rosebundle.Propose(ctx, store, proposal(content(3, "ana", "luis"), first.Manifest, "ana", "luis"))
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Check(conflict.Accepted.Digest(), qt.Equals, accepted.Manifest.Digest())

	replaced := content(2, "ana", "luis")
	replaced.Databases[0].Targets[2].ID = "another"
	err = rosebundle.Propose(ctx, store, proposal(replaced, accepted.Manifest, "ana", "luis"))
	c.Check(err, qt.ErrorMatches, `.*is removed without having been marked as leaving.*`)
}

func TestOnlyNewerSignedBundlesComeIntoForce(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	parts := make(rosebundle.Parts)
	addParts := func(p rosebundle.Proposal) string {
		for digest, text := range p.Parts {
			parts[digest] = text
		}
		parts[p.Manifest.Digest()] = p.Manifest.Encode()
		return p.Manifest.Encode()
	}
	fetch := func(_ context.Context, digest string) (string, error) {
		if text, found := parts[digest]; found {
			return text, nil
		}
		return "", trace.NotFound("no part %s", digest)
	}
	v1 := proposal(content(1, "ana", "luis"), rosebundle.Manifest{}, "ana", "luis")
	v2 := proposal(content(2, "ana", "eva"), v1.Manifest, "ana", "luis")
	v3 := proposal(content(3, "ana", "eva"), v2.Manifest, "ana", "eva")
	forged := proposal(content(4, "mallory"), v3.Manifest, "mallory")
	partlySigned := proposal(content(4, "ana", "eva"), v3.Manifest, "ana")
	tampered := proposal(content(4, "ana", "eva"), v3.Manifest, "ana", "eva")
	tampered.Manifest.Pages[0] = v1.Manifest.Pages[0]
	unknownOperator := proposal(content(9, "mallory"), rosebundle.Manifest{}, "mallory")
	for _, p := range []rosebundle.Proposal{v1, v2, v3, forged, partlySigned, tampered, unknownOperator} {
		addParts(p)
	}
	appliedVersions := func(anchors []string, texts ...string) string {
		var versions []uint64
		list := rosebundle.OperatorList{Signatures: len(anchors)}
		for _, name := range anchors {
			list.Operators = append(list.Operators, operator(name))
		}
		u := rosebundle.NewUpdater(rosebundle.UpdaterConfig{
			TrustAnchors: list,
			Apply:        func(_ *rosebundle.Content, m rosebundle.Manifest) { versions = append(versions, m.Version) },
		})
		for _, text := range texts {
			_ = u.Update(ctx, text, fetch)
		}
		return fmt.Sprint(versions)
	}
	encode := func(p rosebundle.Proposal) string { return p.Manifest.Encode() }
	for _, test := range []struct {
		name    string
		anchors []string
		texts   []string
		want    string
	}{
		{"in order", []string{"ana", "luis"}, []string{encode(v1), encode(v2), encode(v3)}, "[1 2 3]"},
		{"across a change of operators", []string{"ana", "luis"}, []string{encode(v1), encode(v3)}, "[1 3]"},
		{"older after newer", []string{"ana", "luis"}, []string{encode(v1), encode(v2), encode(v1)}, "[1 2]"},
		{"forged", []string{"ana", "luis"}, []string{encode(v1), encode(v3), encode(forged)}, "[1 3]"},
		{"partly signed", []string{"ana", "luis"}, []string{encode(v1), encode(v3), encode(partlySigned)}, "[1 3]"},
		{"tampered", []string{"ana", "luis"}, []string{encode(v1), encode(v3), encode(tampered)}, "[1 3]"},
		{"first by unknown operator", []string{"ana", "luis"}, []string{encode(unknownOperator)}, "[]"},
		{"first with newer operators", []string{"ana"}, []string{encode(v3)}, "[3]"},
		{"not a manifest", []string{"ana"}, []string{"{"}, "[]"},
	} {
		c.Check(appliedVersions(test.anchors, test.texts...), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}
