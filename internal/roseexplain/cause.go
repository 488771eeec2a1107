package roseexplain

import (
	"regexp"
	"strconv"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

// Cause is why a request was refused or late.
type Cause string

// Causes of refused and late requests.
const (
	CausePrimary    Cause = "waited for a primary"
	CauseReplica    Cause = "waited for a target"
	CauseConnection Cause = "waited for a connection"
	CauseRoomFree   Cause = "refused with room free"
	CauseTarget     Cause = "slow at the target"
	CauseAnswer     Cause = "lost or missing answer"
	CauseLink       Cause = "on a cut link"
	CauseRelay      Cause = "on the way between proxies"
	CausePassedOn   Cause = "refused by another home first"
	CauseOverCap    Cause = "over cap"
	CauseDenied     Cause = "denied"
	CauseNotReady   Cause = "not ready"
	CauseDatabase   Cause = "no such database"
	CauseOther      Cause = "other"
)

// poolState matches the state of a pool in the message of a refusal.
var poolState = regexp.MustCompile(`\((\d+) of (\d+) connections in use, (\d+) requests waiting`)

// refusalCause returns the cause of a line of a refusal.
func refusalCause(fields map[string]string) Cause {
	switch rosemary.RefusalKind(fields["kind"]) {
	case rosemary.KindNoPrimary:
		return CausePrimary
	case rosemary.KindNoReplica:
		return CauseReplica
	case rosemary.KindOverloaded:
		if roomFree(fields["message"]) {
			return CauseRoomFree
		}
		return CauseConnection
	case rosemary.KindDeadline:
		return CauseAnswer
	case rosemary.KindUnconfirmed, rosemary.KindAborted, rosemary.KindConnectionLost:
		if fields["target"] == "" {
			// Lost before the home proxy told which target it used.
			return CauseLink
		}
		return CauseAnswer
	case rosemary.KindOverCap:
		return CauseOverCap
	case rosemary.KindDenied, rosemary.KindAuthentication:
		return CauseDenied
	case rosemary.KindNotReady, rosemary.KindDraining, rosemary.KindOutdated:
		return CauseNotReady
	case rosemary.KindUnknownDatabase:
		return CauseDatabase
	}
	return CauseOther
}

// roomFree reports whether a refusal for want of a connection tells of one that was free.
func roomFree(message string) bool {
	m := poolState.FindStringSubmatch(message)
	if m == nil {
		return false
	}
	inUse, _ := strconv.Atoi(m[1])
	limit, _ := strconv.Atoi(m[2])
	return inUse < limit && m[3] == "0"
}

// lateCause returns the cause of a line of a late answer: what took the longest. passedOn is
// set if another home had refused the request before.
func lateCause(fields map[string]string, passedOn bool) Cause {
	spent := []struct {
		cause Cause
		took  time.Duration
	}{
		{CausePrimary, microseconds(fields, "targetWaitUs")},
		{CauseConnection, microseconds(fields, "connWaitUs")},
		{CauseAnswer, microseconds(fields, "failedUs")},
		{CauseTarget, microseconds(fields, "targetUs")},
	}
	longest, rest := spent[0], microseconds(fields, "us")
	for _, s := range spent {
		rest -= s.took
		if s.took > longest.took {
			longest = s
		}
	}
	switch {
	case rest <= longest.took:
		return longest.cause
	case passedOn:
		return CausePassedOn
	}
	return CauseRelay
}

func microseconds(fields map[string]string, name string) time.Duration {
	n, _ := strconv.ParseInt(fields[name], 10, 64)
	return time.Duration(n) * time.Microsecond
}
