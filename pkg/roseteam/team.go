// Package roseteam holds the teams whose work the proxies keep apart: their API keys,
// their priority and their usage cap. Its values are immutable and belong to one version of
// the operators' configuration.
package roseteam

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyDigestBytes is the length of a KeyDigest. Half of a SHA-256 digest leaves no chance of
// two keys with the same one.
const keyDigestBytes = 16

// KeyDigest identifies an API key. Proxies keep and exchange digests, never the keys.
type KeyDigest [keyDigestBytes]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:keyDigestBytes])
}

// fingerprintBytes is the part of a digest that logs and operators see.
const fingerprintBytes = 4

// Fingerprint returns a short form of the digest for logs and operators.
func (k KeyDigest) Fingerprint() string { return hex.EncodeToString(k[:fingerprintBytes]) }

// String returns the whole digest in hexadecimal.
func (k KeyDigest) String() string { return hex.EncodeToString(k[:]) }

// ParseKeyDigest parses the result of KeyDigest.String.
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var k KeyDigest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != keyDigestBytes {
		return k, false
	}
	return KeyDigest(decoded), true
}

// Cap limits the operations of a team over all proxies.
type Cap struct {
	// Rate is the number of operations a second, Burst the number beyond it that may come
	// at once.
	Rate, Burst float64
}

// Team is a customer's group of callers.
type Team struct {
	Name string
	// Priority orders teams when room is short; 0 is the highest.
	Priority int
	// Cap is the usage cap, nil for none.
	Cap  *Cap
	Keys []KeyDigest
}
