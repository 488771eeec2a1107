package roseclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time by which ages and permissions are judged.
type Clock interface {
	Now() time.Time
}

// Runtime is the runtime's clock, which tests pause and advance. It may stand
// still while the VM is suspended.
type Runtime struct{}

// Now returns the runtime's time.
func (Runtime) Now() time.Time { return time.Now() }

// BootTime counts from the VM's start and goes on while the VM is suspended. The
// times that it returns are comparable with each other alone.
type BootTime struct{}

// Now returns the time since the VM's start.
func (BootTime) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}
