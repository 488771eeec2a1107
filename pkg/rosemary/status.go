package rosemary

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Role is what a target does for its group.
type Role string

// Roles of a target.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
	RoleFenced  Role = "fenced"
)

// TermStart is the first offset that a term wrote.
type TermStart struct {
	Term   uint64
	Offset uint64
}

// History lists the terms of a log, oldest first.
type History []TermStart

// String formats the history as "term:offset,term:offset".
func (h History) String() string {
	parts := make([]string, len(h))
	for i, s := range h {
		parts[i] = strconv.FormatUint(s.Term, 10) + ":" + strconv.FormatUint(s.Offset, 10)
	}
	return strings.Join(parts, ",")
}

// ParseHistory reads the form that String writes. The error is a
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

// RecordState tells whether a record is part of a log.
type RecordState int

// Fates of a record with respect to a log.
const (
	RecordUnknown RecordState = iota
	RecordPresent
	RecordLost
)

// RecordState tells whether a log that ends at end and has history h holds the
// record written at p. A log that has not reached p's term leaves it unknown.
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

// Status is what a target reports of itself.
type Status struct {
	Target TargetID
	// Term is the highest term that the target has accepted.
	Term uint64
	// Position is that of the target's last record.
	Position Position
	// Applied is the last record that the target's reads see; zero when it
	// isn't told.
	Applied Position
	Role    Role
	// Primary is the target that this one follows, itself for a primary.
	Primary TargetID
	// History is that of the target's log, cut to its newest terms.
	History History
	// Streaming is set on a replica while its primary's log reaches it.
	Streaming bool
	// Leaving is set when the target asks for no new work.
	Leaving bool
	// Held is the term of a pause; zero while the target receives.
	PausedTerm uint64
	// Busy and Connections tell how loaded the target is.
	BusySlots   int
	Connections int
}

// LeadsTerm reports whether the target is the primary of its own term.
func (s Status) LeadsTerm() bool {
	return s.Role == RolePrimary && s.Position.LogTerm == s.Term
}

// Fingerprint returns what a watch compares: it changes with every field but
// the history, which changes with the term.
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
