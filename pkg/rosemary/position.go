package rosemary

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Position identifies a record in a group's replication log. Positions are
// ordered by LogTerm, then by Offset. The zero Position precedes every record.
type Position struct {
	// LogTerm is the term under which the record was written.
	LogTerm uint64
	// Offset counts records from the start of the log.
	Offset uint64
}

// Compare returns -1, 0 or 1 as p precedes, equals or follows other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.LogTerm, other.LogTerm), cmp.Compare(p.Offset, other.Offset))
}

// AtLeast reports whether p equals or follows other.
func (p Position) AtLeast(other Position) bool {
	return p.Compare(other) >= 0
}

// IsZero reports whether p precedes every record.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Max returns the later of p and other.
func (p Position) Max(other Position) Position {
	if p.AtLeast(other) {
		return p
	}
	return other
}

// String formats p as "logterm/offset".
func (p Position) String() string {
	return strconv.FormatUint(p.LogTerm, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the output of String. The error is a
// trace.BadParameter.
func ParsePosition(text string) (Position, error) {
	term, offset, found := strings.Cut(text, "/")
	if !found {
		return Position{}, trace.BadParameter("position %q is not in the form logterm/offset", text)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, trace.BadParameter("position %q: invalid log term", text)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, trace.BadParameter("position %q: invalid offset", text)
	}
	return Position{LogTerm: t, Offset: o}, nil
}
