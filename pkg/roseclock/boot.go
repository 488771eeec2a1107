package roseclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the time source for the age of data and the expiry of leases.
type Clock interface {
	Now() time.Time
}

// Runtime is the clock of the Go runtime, which tests can control with
// testing/synctest. It may stop while the VM is suspended.
type Runtime struct{}

// Now returns the current time of the runtime's clock.
func (Runtime) Now() time.Time { return time.Now() }

// BootTime measures the time since the VM's start, including time for which the
// VM was suspended. Its times are only comparable with each other.
type BootTime struct{}

// Now returns the time since the VM's start as an offset from the Unix epoch.
func (BootTime) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
