package rosefront

import (
	"crypto/rand"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// scramMechanism is the only SASL mechanism offered.
const scramMechanism = "SCRAM-SHA-256"

// scramIterations is the iteration count of new verifiers and of the exchange
// with unknown tenants, and the minimum accepted.
const scramIterations = 4096

// NewVerifier returns the SCRAM-SHA-256 verifier of a password in PostgreSQL's
// storage format.
func NewVerifier(password string) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return "", trace.BadParameter("the password is not valid for SCRAM: %v", err)
	}
	salt := make([]byte, 16)
	_, _ = rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", trace.Wrap(err)
	}
	encode := base64.StdEncoding.EncodeToString
	return scramMechanism + "$" + strconv.Itoa(scramIterations) + ":" + encode(salt) + "$" +
		encode(stored.StoredKey) + ":" + encode(stored.ServerKey), nil
}

// parseVerifier parses the format that NewVerifier returns.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == '$' || r == ':' })
	if len(parts) != 5 || parts[0] != scramMechanism {
		return scram.StoredCredentials{}, trace.BadParameter("not a SCRAM-SHA-256 verifier; create one with rosemary verifier")
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < scramIterations {
		return scram.StoredCredentials{}, trace.BadParameter("the iteration count of the verifier is invalid or too low; create one with rosemary verifier")
	}
	var fields [3][]byte
	for i, p := range parts[2:] {
		if fields[i], err = base64.StdEncoding.DecodeString(p); err != nil {
			return scram.StoredCredentials{}, trace.BadParameter("the verifier is not valid base64; create one with rosemary verifier")
		}
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(fields[0]), Iters: iterations},
		StoredKey:  fields[1],
		ServerKey:  fields[2],
	}, nil
}

// CheckVerifier returns a trace.BadParameter for an invalid verifier.
func CheckVerifier(text string) error {
	_, err := parseVerifier(text)
	return err
}

// authenticate returns the tenant named user. A tenant without a verifier needs
// no password.
func (s *Server) authenticate(backend *pgproto3.Backend, user string) (rosemary.Tenant, error) {
	tenant, found := s.config.ConfigProvider.Tenant(user)
	if found && tenant.Verifier == "" {
		return tenant, nil
	}
	err := s.verify(backend, tenant, found)
	if err != nil || !found {
		return tenant, refuse(rosemary.KindAuthentication, "password authentication failed for "+quote(user), "check the tenant's name and password")
	}
	return tenant, nil
}

// verify runs the SCRAM exchange. An unknown tenant gets the same exchange with
// random credentials, so that one failed login doesn't tell whether the tenant
// exists.
func (s *Server) verify(backend *pgproto3.Backend, tenant rosemary.Tenant, found bool) error {
	stored, err := parseVerifier(tenant.Verifier)
	if !found || err != nil {
		stored = randomCredentials()
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return trace.Wrap(err)
	}
	conversation := server.NewConversation()
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := saslStep(backend, pgproto3.AuthTypeSASL, conversation); err != nil {
		return err
	}
	return saslStep(backend, pgproto3.AuthTypeSASLContinue, conversation)
}

// saslStep flushes the pending messages, receives the client's next one and
// queues the answer to it.
func saslStep(backend *pgproto3.Backend, authType uint32, conversation *scram.ServerConversation) error {
	if err := backend.SetAuthType(authType); err != nil {
		return trace.Wrap(err)
	}
	if err := backend.Flush(); err != nil {
		return trace.Wrap(err)
	}
	message, err := backend.Receive()
	if err != nil {
		return trace.Wrap(err)
	}
	var data []byte
	switch m := message.(type) {
	case *pgproto3.SASLInitialResponse:
		data = m.Data
	case *pgproto3.SASLResponse:
		data = m.Data
	default:
		return trace.BadParameter("expected a SASL message, got %T", message)
	}
	answer, err := conversation.Step(string(data))
	if err != nil {
		return trace.AccessDenied("SCRAM: %v", err)
	}
	if authType == pgproto3.AuthTypeSASL {
		backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
		return nil
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func randomCredentials() scram.StoredCredentials {
	random := make([]byte, 80)
	_, _ = rand.Read(random)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(random[:16]), Iters: scramIterations},
		StoredKey:  random[16:48],
		ServerKey:  random[48:],
	}
}
