package rosefront

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// localFilter answers statements that concern only the session, without a
// target.
func localFilter(_ *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		if r.client.transactionLost {
			return r.answerLostTransaction()
		}
		if !r.allOfKinds(rosestatement.KindProxySet, rosestatement.KindProxyShow, rosestatement.KindSessionSet,
			rosestatement.KindReset, rosestatement.KindDiscard, rosestatement.KindDeallocate) {
			if r.hasKind(rosestatement.KindProxySet) || r.hasKind(rosestatement.KindSessionSet) || r.hasKind(rosestatement.KindDiscard) {
				return refuse(rosemary.KindUnsupported, "SET or DISCARD can't be combined with other statements in one request", "send it in a separate request")
			}
			return next(ctx, r)
		}
		r.served = "proxy"
		if err := r.answerLocally(); err != nil {
			return err
		}
		if r.isLastPart() {
			r.sendReady()
		}
		return nil
	}
}

// answerLostTransaction serves a client whose transaction was lost with its
// connection. Like the database after an error, it accepts only the end of the
// transaction.
func (r *request) answerLostTransaction() error {
	if !r.allOfKinds(rosestatement.KindEnd) {
		if len(r.statements) == 0 {
			r.sendReady()
			return nil
		}
		return &rosemary.Refusal{
			Kind:    rosemary.KindConnectionLost,
			Outcome: rosemary.OutcomeNotRun,
			Message: "the connection to the target was lost and the transaction was rolled back",
			Remedy:  "send ROLLBACK and run the transaction again",
		}
	}
	r.client.transactionLost = false
	r.served = "proxy"
	for _, message := range r.batch.messages {
		if err := r.answerMessage(message, "ROLLBACK", nil); err != nil {
			return err
		}
	}
	r.sendReady()
	return nil
}

// answerLocally runs the statements in order.
func (r *request) answerLocally() error {
	if r.batch.simple != nil {
		for _, s := range r.statements {
			tag, result, err := r.client.runLocally(s)
			if err != nil {
				return err
			}
			if result != nil {
				r.answer.send(showDescription(result.name))
			}
			r.sendResult(tag, result)
		}
		return nil
	}
	for _, message := range r.batch.messages {
		if err := r.answerMessage(message, "", r.statements); err != nil {
			return err
		}
	}
	return nil
}

// answerMessage answers one message by running the first of statements. If there
// is none, it only answers, with tag as the command tag.
func (r *request) answerMessage(message pgproto3.FrontendMessage, tag string, statements []rosestatement.Statement) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		r.answer.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	case *pgproto3.Parse:
		r.answer.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		r.answer.send(&pgproto3.BindComplete{})
	case *pgproto3.Close:
		delete(r.client.prepared, m.Name)
		r.answer.send(&pgproto3.CloseComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			r.answer.send(&pgproto3.ParameterDescription{})
		}
		if len(statements) > 0 && statements[0].Kind() == rosestatement.KindProxyShow {
			r.answer.send(showDescription(statements[0].Setting()))
			return nil
		}
		r.answer.send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		if len(statements) == 0 {
			r.answer.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			return nil
		}
		commandTag, result, err := r.client.runLocally(statements[0])
		if err != nil {
			return err
		}
		r.sendResult(commandTag, result)
	}
	return nil
}

// showResult is the result of a SHOW.
type showResult struct {
	name  string
	value string
}

// sendResult completes a statement; result is nil unless it is a SHOW.
func (r *request) sendResult(tag string, result *showResult) {
	if result != nil {
		r.answer.send(&pgproto3.DataRow{Values: [][]byte{[]byte(result.value)}})
	}
	r.answer.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func showDescription(name string) *pgproto3.RowDescription {
	const oidText = 25
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1},
	}}
}

// runLocally runs one statement and returns its command tag.
func (c *client) runLocally(s rosestatement.Statement) (string, *showResult, error) {
	switch s.Kind() {
	case rosestatement.KindProxyShow:
		value, err := c.show(s.Setting())
		return "SHOW", &showResult{name: s.Setting(), value: value}, err
	case rosestatement.KindReset:
		return "RESET", nil, c.reset(s.Setting())
	case rosestatement.KindDiscard:
		clear(c.settings)
		clear(c.prepared)
		return "DISCARD ALL", nil, nil
	case rosestatement.KindDeallocate:
		return "DEALLOCATE", nil, c.deallocate(s)
	}
	return "SET", nil, c.set(s.Setting(), s.Value)
}

func (c *client) reset(name string) error {
	switch name {
	case "all":
		clear(c.settings)
	case settingClass:
		c.className = ""
	case settingRequest:
		c.requestID = ""
	default:
		delete(c.settings, name)
	}
	return nil
}

func (c *client) deallocate(s rosestatement.Statement) error {
	name := s.Word(1)
	if name == "prepare" {
		name = s.Word(2)
	}
	if name == "all" {
		clear(c.prepared)
		return nil
	}
	delete(c.prepared, name)
	return nil
}
