package rosepool

import (
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// authenticator responds to a target's authentication requests.
type authenticator struct {
	conn         *Conn
	credentials  Credentials
	conversation *scram.ClientConversation
}

// handle responds to one authentication message. Errors are
// trace.AccessDenied if the method isn't supported or the SCRAM exchange fails.
func (a *authenticator) handle(message pgproto3.BackendMessage) error {
	switch m := message.(type) {
	case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse:
		return nil
	case *pgproto3.AuthenticationSASL:
		return a.startSASL(m.AuthMechanisms)
	case *pgproto3.AuthenticationSASLContinue:
		return a.continueSASL(m.Data)
	case *pgproto3.AuthenticationSASLFinal:
		_, err := a.conversation.Step(string(m.Data))
		if err != nil {
			return trace.AccessDenied("invalid final SCRAM message from the target: %v", err)
		}
		return nil
	}
	return trace.AccessDenied("the target sent %T during authentication; configure scram-sha-256 or trust for the proxy there", message)
}

func (a *authenticator) startSASL(mechanisms []string) error {
	client, err := scram.SHA256.NewClient(a.credentials.User, a.credentials.Password, "")
	if err != nil {
		return trace.AccessDenied("invalid user or password for SCRAM: %v", err)
	}
	for _, m := range mechanisms {
		if m != "SCRAM-SHA-256" {
			continue
		}
		a.conversation = client.NewConversation()
		first, err := a.conversation.Step("")
		if err != nil {
			return trace.Wrap(err)
		}
		a.conn.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: m, Data: []byte(first)})
		return trace.Wrap(a.conn.frontend.Flush())
	}
	return trace.AccessDenied("the target offers only the SASL mechanisms %v; enable SCRAM-SHA-256 there", mechanisms)
}

func (a *authenticator) continueSASL(data []byte) error {
	if a.conversation == nil {
		return trace.AccessDenied("the target continued a SCRAM exchange that was not started")
	}
	response, err := a.conversation.Step(string(data))
	if err != nil {
		return trace.AccessDenied("SCRAM exchange with the target failed: %v", err)
	}
	a.conn.frontend.Send(&pgproto3.SASLResponse{Data: []byte(response)})
	return trace.Wrap(a.conn.frontend.Flush())
}
