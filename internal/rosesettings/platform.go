package rosesettings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
	"github.com/rosemarywell/rosemarywell/pkg/rosecap"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
)

// PlatformSettings holds the settings of a process whose targets and
// configuration are in the platform's metadata store (rosemaryd -platform).
type PlatformSettings struct {
	// Name identifies the proxy.
	Name string
	// Zone is the availability zone that the VM is in.
	Zone string
	// Region isn't used.
	Region string
	// Seeds are the admin addresses of some proxies, which may be outdated. They
	// aren't used.
	Seeds []string
	// FirstStart is set while the whole system starts for the first time, so that
	// no proxy can have held a lock before.
	FirstStart bool
	Listen     PlatformListen
	Store      Address
	// Promoter is the service that replaces a primary on request.
	Promoter Address
	Limits   PlatformLimits
}

// PlatformListen holds the addresses that the process listens on.
type PlatformListen struct {
	// Callers is for clients.
	Callers string
	// Ready is for the readiness checks of the load balancer.
	Ready string
	// Admin is for metrics and the teams in force.
	Admin string
	// Peers is for other proxies.
	Peers string
}

// Address locates a service of the platform.
type Address struct {
	Address string
}

// PlatformLimits describes the resources of the process.
type PlatformLimits struct {
	// CoreShare is the share of a CPU core that the process has. The proxy's
	// weight in the choice of home proxies is proportional to it.
	CoreShare float64
	// MemoryMb is the memory that the process may use, in MiB.
	MemoryMb int
	// Descriptors is the number of file descriptors that it may open. It isn't
	// used.
	Descriptors int
	// GraceTime is how long a shutdown may take.
	GraceTime rosebundle.Duration
	// LeavingTime is how long after its report a leaving target may get new work.
	LeavingTime rosebundle.Duration
	// ConfigurationTime is within what time a proxy has to learn of a new configuration.
	ConfigurationTime rosebundle.Duration
	// CapWindow, CapExcess and CapSlack tell how far teams may exceed their usage caps: in
	// any CapWindow, by the part CapExcess of what the cap allows, and by CapSlack
	// operations.
	CapWindow rosebundle.Duration
	CapExcess float64
	CapSlack  float64
}

// Values that apply if the file sets none.
const (
	defaultGraceTime   = rosebundle.Duration(6 * time.Second)
	defaultLeavingTime = rosebundle.Duration(rosefleet.DefaultLeavingTime)

	defaultConfigurationTime = rosebundle.Duration(5 * time.Second)
	defaultCapWindow         = rosebundle.Duration(rosecap.DefaultWindow)
)

// LoadPlatform reads and checks a settings file. The error is a
// *rosebundle.ValidationError that lists every fault, or the error from reading
// the file.
func LoadPlatform(path string) (PlatformSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return PlatformSettings{}, trace.ConvertSystemError(err)
	}
	return ParsePlatform(string(text))
}

// ParsePlatform reads and checks the text of a settings file. Unknown keys are
// ignored, as the platform's template may be newer than this program.
func ParsePlatform(text string) (PlatformSettings, error) {
	v := PlatformSettings{Limits: PlatformLimits{GraceTime: defaultGraceTime, LeavingTime: defaultLeavingTime, ConfigurationTime: defaultConfigurationTime, CapWindow: defaultCapWindow}}
	if _, err := toml.Decode(text, &v); err != nil {
		return v, &rosebundle.ValidationError{Faults: []rosebundle.Fault{
			{Key: "(file)", Problem: err.Error(), Remedy: "correct the TOML"},
		}}
	}
	if faults := v.Check(); len(faults) > 0 {
		return v, &rosebundle.ValidationError{Faults: faults}
	}
	return v, nil
}

// Check returns all faults of the settings.
func (v PlatformSettings) Check() []rosebundle.Fault {
	var faults []rosebundle.Fault
	add := func(invalid bool, key, problem, remedy string) {
		if invalid {
			faults = append(faults, rosebundle.Fault{Key: key, Problem: problem, Remedy: remedy})
		}
	}
	add(v.Name == "", "Name", "it is empty", "give the proxy the name of its VM")
	add(v.Zone == "", "Zone", "it is empty", "name the availability zone of this VM")
	addresses := []struct{ key, address string }{
		{"Listen.Callers", v.Listen.Callers},
		{"Listen.Ready", v.Listen.Ready},
		{"Listen.Admin", v.Listen.Admin},
		{"Listen.Peers", v.Listen.Peers},
		{"Store.Address", v.Store.Address},
		{"Promoter.Address", v.Promoter.Address},
	}
	for _, a := range addresses {
		_, _, err := net.SplitHostPort(a.address)
		add(err != nil, a.key, fmt.Sprintf("%q is no host:port", a.address), "give an IP number and a port")
	}
	add(v.Limits.CoreShare < 0, "Limits.CoreShare", "it is negative", "set it to the share of a core that the process has, or 0")
	add(v.Limits.MemoryMb < 0, "Limits.MemoryMb", "it is negative", "set it to the memory of the process in MiB, or 0")
	add(v.Limits.GraceTime <= 0, "Limits.GraceTime", "it is not positive", "set it to the time between SIGTERM and SIGKILL")
	add(v.Limits.LeavingTime <= 0, "Limits.LeavingTime", "it is not positive", "set it to the time for which a leaving target may get new work")
	add(v.Limits.ConfigurationTime <= 0, "Limits.ConfigurationTime", "it is not positive", "set it to the time within which a configuration has to be in force")
	add(v.Limits.CapWindow <= 0, "Limits.CapWindow", "it is not positive", "set it to the window in which operations count towards usage caps")
	add(v.Limits.CapExcess < 0, "Limits.CapExcess", "it is negative", "set it to the part by which usage caps may be exceeded, or 0")
	add(v.Limits.CapSlack < 0, "Limits.CapSlack", "it is negative", "set it to the number of operations by which usage caps may be exceeded, or 0")
	return faults
}
