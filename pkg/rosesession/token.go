// Package rosesession keeps what a session must be able to read: its floor,
// the greatest position of its own writes, and the signed token that carries
// the floor to another proxy.
package rosesession

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// minKeyBytes is the shortest signing key accepted.
const minKeyBytes = 16

// Session is what a proxy knows of a caller's session.
type Session struct {
	// Name identifies the session across proxies.
	Name     string
	Tenant   string
	Database string
	// Floor is the position that reads must have reached.
	MinPosition rosemary.Position
	// FloorUnknown is set until the floor of a named session was sampled.
	MinPositionUnknown bool
}

// NewSession returns a session with a random name and no writes yet.
func NewSession(tenant, database string) Session {
	name := make([]byte, 12)
	_, _ = rand.Read(name)
	return Session{Name: hex.EncodeToString(name), Tenant: tenant, Database: database}
}

// WithMinPosition returns a copy whose floor is at least floor.
func (s Session) WithMinPosition(floor rosemary.Position) Session {
	s.MinPosition = s.MinPosition.Max(floor)
	return s
}

// WithSampledMinPosition returns a copy whose floor is known and at least floor.
func (s Session) WithSampledMinPosition(floor rosemary.Position) Session {
	s.MinPositionUnknown = false
	return s.WithMinPosition(floor)
}

// WithUnknownMinPosition returns a copy whose floor has to be sampled: a write of
// unknown outcome left no position.
func (s Session) WithUnknownMinPosition() Session {
	s.MinPositionUnknown = true
	return s
}

// WithName returns the session of that name, whose floor isn't known.
func (s Session) WithName(name string) Session {
	s.Name = name
	s.MinPosition = rosemary.Position{}
	s.MinPositionUnknown = true
	return s
}

// Keys sign and verify tokens. The first key signs; all verify, so that keys
// can be replaced while tokens are out.
type Keys struct {
	keys [][]byte
}

// NewKeys returns the keys in the order given. It fails with
// trace.BadParameter when there is none or one is too short.
func NewKeys(keys ...[]byte) (*Keys, error) {
	if len(keys) == 0 {
		return nil, trace.BadParameter("no token key: set TokenKeys to at least one secret shared by all proxies")
	}
	for _, k := range keys {
		if len(k) < minKeyBytes {
			return nil, trace.BadParameter("token key of %d bytes: use at least %d", len(k), minKeyBytes)
		}
	}
	return &Keys{keys: keys}, nil
}

// payload is the signed part of a token.
type payload struct {
	Name     string
	Tenant   string
	Database string
	LogTerm  uint64
	Offset   uint64
	// Unknown is set when a write of unknown outcome has no position.
	Unknown bool
}

// Sign returns the signed token of the session.
func (k *Keys) Sign(s Session) string {
	body, err := cbor.Marshal(payload{
		Name:     s.Name,
		Tenant:   s.Tenant,
		Database: s.Database,
		LogTerm:  s.MinPosition.LogTerm,
		Offset:   s.MinPosition.Offset,
		Unknown:  s.MinPositionUnknown,
	})
	if err != nil {
		return ""
	}
	return encode(body) + "." + encode(sign(k.keys[0], body))
}

// Verify returns the session that a token carries. The error is a
// *rosemary.Refusal of kind bad-token.
func (k *Keys) Verify(token, tenant, database string) (Session, error) {
	first, second, found := strings.Cut(token, ".")
	body, errBody := decode(first)
	signature, errSignature := decode(second)
	if !found || errBody != nil || errSignature != nil {
		return Session{}, badToken("it is not a token of this system")
	}
	if !k.verified(body, signature) {
		return Session{}, badToken("its signature is of no known key")
	}
	var p payload
	if err := cbor.Unmarshal(body, &p); err != nil {
		return Session{}, badToken("it can't be decoded")
	}
	if p.Tenant != tenant || p.Database != database {
		return Session{}, badToken("it belongs to another tenant or database")
	}
	return Session{
		Name:               p.Name,
		Tenant:             tenant,
		Database:           database,
		MinPosition:        rosemary.Position{LogTerm: p.LogTerm, Offset: p.Offset},
		MinPositionUnknown: p.Unknown,
	}, nil
}

func (k *Keys) verified(body, signature []byte) bool {
	for _, key := range k.keys {
		if hmac.Equal(sign(key, body), signature) {
			return true
		}
	}
	return false
}

func sign(key, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(body)
	return mac.Sum(nil)[:16]
}

func encode(data []byte) string { return base64.RawURLEncoding.EncodeToString(data) }

func decode(text string) ([]byte, error) { return base64.RawURLEncoding.DecodeString(text) }

func badToken(message string) error {
	return &rosemary.Refusal{
		Kind:    rosemary.KindBadToken,
		Outcome: rosemary.OutcomeNotRun,
		Message: "the session token was refused: " + message,
		Remedy:  "pass the newest rosemary.token unchanged, or rosemary.session alone",
	}
}
