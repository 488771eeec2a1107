package rosebundle_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

// largeContent returns content with that many databases of three targets each.
func largeContent(databases int, key ed25519.PrivateKey) *rosebundle.Content {
	public, _ := key.Public().(ed25519.PublicKey)
	content := &rosebundle.Content{
		Operators:  []rosebundle.Operator{{Name: "ana", PublicKey: base64.StdEncoding.EncodeToString(public)}},
		Signatures: 1,
		Classes:    []rosebundle.Class{{Name: "lookup", ReadOnly: true, Weight: 1}},
	}
	for i := range databases {
		d := rosebundle.Database{Name: fmt.Sprintf("db%04d", i), Slots: 3, Connections: 20}
		for j := range 3 {
			d.Targets = append(d.Targets, rosebundle.Target{
				ID: fmt.Sprintf("db%04d-%d", i, j), Address: "10.0.0.1:5432", Zone: fmt.Sprintf("zone-%d", j),
			})
		}
		content.Databases = append(content.Databases, d)
	}
	return content
}

// BenchmarkUpdateAfterChange reports what a change of one database costs a
// proxy with 2,400 databases, the number expected in two years: bytes fetched,
// and the time to verify and apply.
func BenchmarkUpdateAfterChange(b *testing.B) {
	c := qt.New(b)
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	content := largeContent(2400, key)
	m, parts := rosebundle.Build(content, rosebundle.Manifest{})
	m = m.WithSignature("ana", key)
	updater := rosebundle.NewUpdater(rosebundle.UpdaterConfig{
		TrustAnchors: rosebundle.OperatorList{Operators: content.Operators, Signatures: 1},
		Apply:        func(*rosebundle.Content, rosebundle.Manifest) {},
	})
	fetched := 0
	fetch := func(_ context.Context, digest string) (string, error) {
		fetched += len(parts[digest])
		return parts[digest], nil
	}
	c.Assert(updater.Update(context.Background(), m.Encode(), fetch), qt.IsNil)
	firstFetch := fetched
	fetched = 0
	for b.Loop() {
		content.Databases[7].Slots = content.Databases[7].Slots%9 + 1
		m, parts = rosebundle.Build(content, m)
		m = m.WithSignature("ana", key)
		fetched += len(m.Encode())
		c.Assert(updater.Update(context.Background(), m.Encode(), fetch), qt.IsNil)
	}
	b.ReportMetric(float64(fetched)/float64(b.N), "bytes/change")
	b.ReportMetric(float64(firstFetch), "bytes/first")
}
