package rosepool

import (
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// login answers a target's demand for a password.
type login struct {
	conn         *Conn
	credentials  Credentials
	conversation *scram.ClientConversation
}

// answer reacts to one authentication message. Errors are
// trace.AccessDenied for a method or password that doesn't fit.
func (l *login) answer(message pgproto3.BackendMessage) error {
	switch m := message.(type) {
	case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse:
		return nil
	case *pgproto3.AuthenticationSASL:
		return l.start(m.AuthMechanisms)
	case *pgproto3.AuthenticationSASLContinue:
		return l.step(m.Data)
	case *pgproto3.AuthenticationSASLFinal:
		_, err := l.conversation.Step(string(m.Data))
		if err != nil {
			return trace.AccessDenied("the target's SCRAM proof is wrong: %v", err)
		}
		return nil
	}
	return trace.AccessDenied("the target demands %T; set it to scram-sha-256 or trust for the proxy", message)
}

func (l *login) start(mechanisms []string) error {
	client, err := scram.SHA256.NewClient(l.credentials.User, l.credentials.Password, "")
	if err != nil {
		return trace.AccessDenied("the target password can't be used: %v", err)
	}
	for _, m := range mechanisms {
		if m != "SCRAM-SHA-256" {
			continue
		}
		l.conversation = client.NewConversation()
		first, err := l.conversation.Step("")
		if err != nil {
			return trace.Wrap(err)
		}
		l.conn.frontend.Send(&pgproto3.SASLInitialResponse{AuthMechanism: m, Data: []byte(first)})
		return trace.Wrap(l.conn.frontend.Flush())
	}
	return trace.AccessDenied("the target offers %v; enable SCRAM-SHA-256", mechanisms)
}

func (l *login) step(data []byte) error {
	if l.conversation == nil {
		return trace.AccessDenied("the target continued a SCRAM exchange that was not begun")
	}
	response, err := l.conversation.Step(string(data))
	if err != nil {
		return trace.AccessDenied("the target refused the password: %v", err)
	}
	l.conn.frontend.Send(&pgproto3.SASLResponse{Data: []byte(response)})
	return trace.Wrap(l.conn.frontend.Flush())
}
