package rosecaller

import (
	"fmt"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// comeBack is when a caller that was refused for want of a target may find
// one: about the time of a promotion's last steps.
const comeBack = 200 * time.Millisecond

func refuse(kind rosemary.Kind, outcome rosemary.Outcome, message, remedy string, after time.Duration) *rosemary.Refusal {
	return &rosemary.Refusal{Kind: kind, Outcome: outcome, Message: message, Remedy: remedy, RetryAfter: after}
}

func inFailedBlock() *rosemary.Refusal {
	return refuse(rosemary.KindProtocol, rosemary.OutcomeNotRun, "the transaction has failed", "roll it back", 0)
}

func protocolError(message, remedy string) *rosemary.Refusal {
	return refuse(rosemary.KindProtocol, rosemary.OutcomeNotRun, message, remedy, 0)
}

func unknownName(name string) *rosemary.Refusal {
	return refuse(rosemary.KindUnknownStatement, rosemary.OutcomeNotRun,
		fmt.Sprintf("nothing is prepared as %q", name), "prepare it in this session", 0)
}

func unknownDatabase(database string) *rosemary.Refusal {
	return refuse(rosemary.KindUnknownDatabase, rosemary.OutcomeNotRun,
		fmt.Sprintf("there is no database %q", database), "look at the configuration in force", 0)
}

func noGroup(name string) *rosemary.Refusal {
	return refuse(rosemary.KindNoPrimary, rosemary.OutcomeNotRun,
		fmt.Sprintf("no target of group %q is known", name), "retry", comeBack)
}

func aborted(message string) *rosemary.Refusal {
	return refuse(rosemary.KindAborted, rosemary.OutcomeNotRun, message, "run the transaction again", comeBack)
}

func unknown(target rosemary.TargetID) *rosemary.Refusal {
	return refuse(rosemary.KindUnconfirmed, rosemary.OutcomeUnknown,
		fmt.Sprintf("the answer of target %s was lost, or it had been replaced", target), "read what was to be written before a retry", 0)
}

func notRun() *rosemary.Refusal {
	return refuse(rosemary.KindNoPrimary, rosemary.OutcomeNotRun, "no target ran the statement in time", "retry", comeBack)
}

func readFailed(after time.Duration) *rosemary.Refusal {
	return refuse(rosemary.KindDeadline, rosemary.OutcomeUnknown,
		fmt.Sprintf("no target answered the read within %d ms", after.Milliseconds()), "retry", comeBack)
}
