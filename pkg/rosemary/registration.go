package rosemary

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// TargetRegistration is the platform's record of one target.
type TargetRegistration struct {
	Target
	Group   string
	Slots   int
	Leaving bool
	Primary bool
	// Incarnation differs after a replacement of the server under the same
	// ID and address.
	Incarnation int64
	// Sequence increases with each update of the record.
	Sequence int64
	// LastReadyAt is when the reader of the record last knew that the target wasn't
	// leaving, on its own clock; zero if it never did. A leaving target reported so
	// later.
	LastReadyAt time.Time
}

const (
	// MaxTargetSlots is the largest number of statements that a target may run concurrently.
	MaxTargetSlots = 10_000
	// maxRegistrationCount is the largest incarnation or sequence: larger integers aren't
	// exact in every JSON encoder.
	maxRegistrationCount = 1 << 53
)

// Check returns a trace.BadParameter for a registration that names no target that could be
// connected to.
func (r TargetRegistration) Check() error {
	switch {
	case r.ID == "" || strings.ContainsAny(string(r.ID), blanks):
		return trace.BadParameter("the ID %q is empty or has blanks", r.ID)
	case r.Group == "" || r.Zone == "":
		return trace.BadParameter("the group or the zone is missing")
	case r.Slots < 1 || r.Slots > MaxTargetSlots:
		return trace.BadParameter("%d slots are not between 1 and %d", r.Slots, MaxTargetSlots)
	case r.Incarnation < 0 || r.Incarnation > maxRegistrationCount:
		return trace.BadParameter("the incarnation %d is out of range", r.Incarnation)
	case r.Sequence < 0 || r.Sequence > maxRegistrationCount:
		return trace.BadParameter("the sequence %d is out of range", r.Sequence)
	}
	return checkAddress(r.Address)
}

const blanks = " \t\r\n"

// checkAddress returns a trace.BadParameter for an address that isn't a host and the number of
// a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsAny(host, blanks) {
		return trace.BadParameter("the address %q isn't a host and a port", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return trace.BadParameter("the port of %q isn't a number between 1 and 65535", address)
	}
	return nil
}
