package rosecaller

import (
	"fmt"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// noTargetRetryDelay is the retry delay suggested to a client for which no
// target was available. It is about as long as the last steps of a promotion.
const noTargetRetryDelay = 200 * time.Millisecond

func refuse(kind rosemary.RefusalKind, outcome rosemary.Outcome, message, remedy string, retryAfter time.Duration) *rosemary.Refusal {
	return &rosemary.Refusal{Kind: kind, Outcome: outcome, Message: message, Remedy: remedy, RetryAfter: retryAfter}
}

func transactionFailed() *rosemary.Refusal {
	return refuse(rosemary.KindProtocol, rosemary.OutcomeNotRun, "the transaction has failed", "roll back the transaction", 0)
}

func protocolError(message, remedy string) *rosemary.Refusal {
	return refuse(rosemary.KindProtocol, rosemary.OutcomeNotRun, message, remedy, 0)
}

func unknownStatement(name string) *rosemary.Refusal {
	return refuse(rosemary.KindUnknownStatement, rosemary.OutcomeNotRun,
		fmt.Sprintf("no prepared statement %q in this session", name), "prepare the statement first", 0)
}

func unknownDatabase(database string) *rosemary.Refusal {
	return refuse(rosemary.KindUnknownDatabase, rosemary.OutcomeNotRun,
		fmt.Sprintf("database %q does not exist", database), "check the databases in the active configuration", 0)
}

func unknownGroup(name string) *rosemary.Refusal {
	return refuse(rosemary.KindNoPrimary, rosemary.OutcomeNotRun,
		fmt.Sprintf("no targets of group %q are known", name), "retry", noTargetRetryDelay)
}

func aborted(message string) *rosemary.Refusal {
	return refuse(rosemary.KindAborted, rosemary.OutcomeNotRun, message, "run the transaction again", noTargetRetryDelay)
}

func outcomeUnknown(target rosemary.TargetID) *rosemary.Refusal {
	return refuse(rosemary.KindUnconfirmed, rosemary.OutcomeUnknown,
		fmt.Sprintf("the answer from target %s was lost, or the target was no longer the primary", target), "read the data to see whether the write took effect before retrying", 0)
}

func statementNotRun() *rosemary.Refusal {
	return refuse(rosemary.KindNoPrimary, rosemary.OutcomeNotRun, "no target could run the statement within its deadline and retry limits", "retry", noTargetRetryDelay)
}

func readUnanswered(waited time.Duration) *rosemary.Refusal {
	return refuse(rosemary.KindDeadline, rosemary.OutcomeUnknown,
		fmt.Sprintf("no target answered the read within %d ms", waited.Milliseconds()), "retry", noTargetRetryDelay)
}
