package rosefront

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// checkFilter refuses what can't be served on a shared connection.
func checkFilter(s *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		s.budget.Deposit()
		if r.classError != nil {
			return r.classError
		}
		for _, message := range r.batch.messages {
			switch message.(type) {
			case *pgproto3.FunctionCall:
				return refuse(rosemary.KindUnsupported, "the function-call protocol isn't supported", "call the function with SELECT")
			case *pgproto3.Query:
				if len(r.batch.messages) > 1 {
					return refuse(rosemary.KindProtocol, "a simple query within an extended request", "send Sync before the query")
				}
			}
		}
		for _, statement := range r.statements {
			if err := checkStatement(statement); err != nil {
				return err
			}
		}
		return next(ctx, r)
	}
}

// remedies tell what to do instead of a statement that needs a connection of
// its own.
var remedies = map[string]string{
	"listen":   "connect to the target directly to listen",
	"unlisten": "connect to the target directly to listen",
	"copy":     "use INSERT with several rows, or connect to the target directly",
	"prepare":  "prepare by the protocol, as drivers do",
	"load":     "have the operators set it at the target",
	"declare":  "use LIMIT and a key range",
	"create":   "use an ordinary table",
}

func checkStatement(statement rosestatement.Statement) error {
	if statement.Kind() != rosestatement.KindUnsupported {
		return nil
	}
	word := statement.Word(0)
	return refuse(rosemary.KindUnsupported, "the statement "+quote(word)+" needs a connection of its own", remedies[word])
}
