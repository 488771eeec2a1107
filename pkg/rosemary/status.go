package rosemary

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Role is the role of a target in its group.
type Role string

// Roles of a target.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// TermStart is a term and the offset of the first record written in it.
type TermStart struct {
	Term   uint64
	Offset uint64
}

// History lists the terms of a log and where they start, oldest first.
type History []TermStart

// String formats the history as "term:offset,term:offset".
func (h History) String() string {
	parts := make([]string, len(h))
	for i, s := range h {
		parts[i] = strconv.FormatUint(s.Term, 10) + ":" + strconv.FormatUint(s.Offset, 10)
	}
	return strings.Join(parts, ",")
}

// ParseHistory parses the output of String. The error is a
// trace.BadParameter.
func ParseHistory(text string) (History, error) {
	if text == "" {
		return nil, nil
	}
	var history History
	for part := range strings.SplitSeq(text, ",") {
		position, err := ParsePosition(strings.Replace(part, ":", "/", 1))
		if err != nil {
			return nil, trace.Wrap(err, "history %q", text)
		}
		history = append(history, TermStart{Term: position.LogTerm, Offset: position.Offset})
	}
	return history, nil
}

// RecordState tells whether a log contains a record.
type RecordState int

// States of a record with respect to a log.
const (
	RecordUnknown RecordState = iota
	RecordPresent
	RecordLost
)

// RecordState returns whether the log with history h and last position end
// contains the record written at p. The record is lost if the log continues
// without it in a later term. It is unknown if the log hasn't reached p, or if
// the term of p precedes those in h.
func (h History) RecordState(p, end Position) RecordState {
	if p.LogTerm > end.LogTerm {
		return RecordUnknown
	}
	if p.LogTerm == end.LogTerm {
		if p.Offset <= end.Offset {
			return RecordPresent
		}
		return RecordUnknown
	}
	for i, s := range h {
		if s.Term != p.LogTerm {
			continue
		}
		if i+1 < len(h) && p.Offset >= h[i+1].Offset {
			return RecordLost
		}
		return RecordPresent
	}
	if len(h) > 0 && p.LogTerm < h[0].Term {
		return RecordUnknown
	}
	return RecordLost
}

// Status is the status that a target reports.
type Status struct {
	Target TargetID
	// Term is the highest term that the target has accepted.
	Term uint64
	// Position is the position of the target's last record.
	Position Position
	// Applied is the position of the last record visible to reads at the
	// target; zero if not reported.
	Applied Position
	Role    Role
	// Primary is the target that this one replicates from; a primary names
	// itself.
	Primary TargetID
	// History is the history of the target's log, limited to its latest
	// terms.
	History History
	// Streaming is set on a replica while it receives its primary's log.
	Streaming bool
	// Leaving is set if the target accepts no new work.
	Leaving bool
	// ReportedLag is how far behind its primary the target says that it is; zero if not
	// reported.
	ReportedLag time.Duration
	// PausedTerm is the term for which Conn.Pause has fenced the target;
	// zero for none.
	PausedTerm uint64
	// BusySlots and Connections are the numbers of slots and connections in
	// use.
	BusySlots   int
	Connections int
}

// LeadsTerm reports whether the target is a primary that has written a record
// in the term that it has accepted.
func (s Status) LeadsTerm() bool {
	return s.Role == RolePrimary && s.Position.LogTerm == s.Term
}

// Fingerprint returns the value that TargetControl.Watch compares. It covers
// the term, position, role, primary, Leaving and Streaming; the history changes
// only with the term.
func (s Status) Fingerprint() string {
	return strings.Join([]string{
		strconv.FormatUint(s.Term, 10),
		s.Position.String(),
		string(s.Role),
		string(s.Primary),
		strconv.FormatBool(s.Leaving),
		strconv.FormatBool(s.Streaming),
	}, "|")
}
