package rosefront

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
	"github.com/rosemarywell/rosemarywell/pkg/rosestatement"
)

// checkFilter refuses requests of an unknown class, those that violate the
// protocol, and those that can't be served on a shared connection.
func checkFilter(s *Server, next handler) handler {
	return func(ctx context.Context, r *request) error {
		s.retryBudget.Deposit()
		if r.classError != nil {
			return r.classError
		}
		for _, message := range r.batch.messages {
			switch message.(type) {
			case *pgproto3.FunctionCall:
				return refuse(rosemary.KindUnsupported, "the function call protocol is not supported", "call the function with SELECT")
			case *pgproto3.Query:
				if len(r.batch.messages) > 1 {
					return refuse(rosemary.KindProtocol, "a simple query was sent before the Sync that ends an extended query", "send Sync before the simple query")
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

// remedies are the alternatives to statements that need a dedicated connection,
// by their first keyword.
var remedies = map[string]string{
	"listen":   "connect to the target directly for notifications",
	"unlisten": "connect to the target directly for notifications",
	"copy":     "use INSERT with several rows, or connect to the target directly",
	"prepare":  "prepare through the extended query protocol, as drivers do",
	"load":     "ask the operators to load the library at the target",
	"declare":  "page through the rows with LIMIT and a key range",
	"create":   "use a permanent table",
}

func checkStatement(statement rosestatement.Statement) error {
	if statement.Kind() != rosestatement.KindUnsupported {
		return nil
	}
	word := statement.Word(0)
	return refuse(rosemary.KindUnsupported, "the statement "+quote(word)+" needs a dedicated connection to the target", remedies[word])
}
