// Package rosesession implements read-your-writes for client sessions: it
// tracks the greatest log position of a session's own writes, which its reads
// must reach, and the signed token that carries it to another proxy.
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

// minKeyBytes is the minimum length of a signing key.
const minKeyBytes = 16

// Session is the read-your-writes state of a client session.
type Session struct {
	// Name identifies the session across proxies.
	Name     string
	Tenant   string
	Database string
	// MinPosition is the log position that a target must have reached to serve
	// the session's reads.
	MinPosition rosemary.Position
	// MinPositionUnknown is set after a write of unknown outcome, and when a
	// client resumes a session by its name without a token. It is cleared
	// once MinPosition is at least the group's current log position.
	MinPositionUnknown bool
}

// NewSession returns a session with a random name and no writes.
func NewSession(tenant, database string) Session {
	name := make([]byte, 12)
	_, _ = rand.Read(name)
	return Session{Name: hex.EncodeToString(name), Tenant: tenant, Database: database}
}

// WithMinPosition returns a copy whose MinPosition is at least position.
func (s Session) WithMinPosition(position rosemary.Position) Session {
	s.MinPosition = s.MinPosition.Max(position)
	return s
}

// WithSampledMinPosition returns a copy whose MinPosition is known and at least
// position, which is at or after every write that the group has acknowledged.
func (s Session) WithSampledMinPosition(position rosemary.Position) Session {
	s.MinPositionUnknown = false
	return s.WithMinPosition(position)
}

// WithUnknownMinPosition returns a copy whose MinPosition is unknown, for a
// session with a write of unknown outcome.
func (s Session) WithUnknownMinPosition() Session {
	s.MinPositionUnknown = true
	return s
}

// WithName returns the session of that name, with MinPosition unknown.
func (s Session) WithName(name string) Session {
	s.Name = name
	s.MinPosition = rosemary.Position{}
	s.MinPositionUnknown = true
	return s
}

// Keys sign and verify tokens. The first key signs and all verify, so that keys
// can be rotated while issued tokens are in use.
type Keys struct {
	keys [][]byte
}

// NewKeys returns the keys in the given order. It fails with
// trace.BadParameter if there is no key or one is too short.
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

// payload is the part of a token that its signature covers.
type payload struct {
	Name     string
	Tenant   string
	Database string
	LogTerm  uint64
	Offset   uint64
	// Unknown is the session's MinPositionUnknown.
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
	encodedBody, encodedSignature, found := strings.Cut(token, ".")
	body, errBody := decode(encodedBody)
	signature, errSignature := decode(encodedSignature)
	if !found || errBody != nil || errSignature != nil {
		return Session{}, badToken("it is malformed")
	}
	if !k.hasSigned(body, signature) {
		return Session{}, badToken("the signature matches none of the token keys")
	}
	var p payload
	if err := cbor.Unmarshal(body, &p); err != nil {
		return Session{}, badToken("the signed payload can't be decoded")
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

func (k *Keys) hasSigned(body, signature []byte) bool {
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
		Remedy:  "set rosemary.token to the unmodified latest token of the session, or set rosemary.session to its name instead",
	}
}
