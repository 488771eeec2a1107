package rosesettings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

// VMSettings holds the settings of a process whose targets and configuration are in
// the platform's store.
type VMSettings struct {
	// Name identifies the proxy.
	Name string
	// Zone is the availability zone that the VM is in.
	Zone   string
	Region string
	// Seeds are admin addresses of some proxies; they may be stale.
	Seeds  []string
	Listen VMListen
	Store  Address
	// Promoter takes the orders that replace a primary.
	Promoter Address
	Limits   VMLimits
}

// VMListen holds the addresses that the process serves.
type VMListen struct {
	// Callers is where applications connect.
	Callers string
	// Ready answers the balancer.
	Ready string
	// Admin serves metrics and operators' requests.
	Admin string
	// Peers is where other proxies connect.
	Peers string
}

// Address is where a service of the platform is.
type Address struct {
	Address string
}

// VMLimits bound what the process takes on.
type VMLimits struct {
	// CoreShare is the part of a core that the process has; it weighs the
	// share of work that the VM takes on for others.
	CoreShare float64
	// MemoryMb is the memory of the process, in MiB.
	MemoryMb int
	// Descriptors is the number of files and sockets it may open.
	Descriptors int
	// GraceTime is how long a shutdown may take.
	GraceTime rosebundle.Duration
}

// defaultGrace is the time that a shutdown may take where nothing is said.
const defaultGrace = rosebundle.Duration(6 * time.Second)

// LoadVM reads and checks a settings file. The error is a
// *rosebundle.FaultsError that lists every fault, or that of the file.
func LoadVM(path string) (VMSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return VMSettings{}, trace.ConvertSystemError(err)
	}
	return ParseVM(string(text))
}

// ParseVM reads and checks the text of a settings file. Unknown keys are
// passed over: the platform's template may be newer than the program.
func ParseVM(text string) (VMSettings, error) {
	v := VMSettings{Limits: VMLimits{GraceTime: defaultGrace}}
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

// Check returns every fault of the settings.
func (v VMSettings) Check() []rosebundle.Fault {
	var faults []rosebundle.Fault
	add := func(wrong bool, key, problem, remedy string) {
		if wrong {
			faults = append(faults, rosebundle.Fault{Key: key, Problem: problem, Remedy: remedy})
		}
	}
	add(v.Name == "", "Name", "it is empty", "name the VM")
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
	add(v.Limits.CoreShare < 0, "Limits.CoreShare", "it is negative", "set it to the part of a core, or 0")
	add(v.Limits.MemoryMb < 0, "Limits.MemoryMb", "it is negative", "set it to the memory of the process in MiB, or 0")
	add(v.Limits.GraceTime <= 0, "Limits.GraceTime", "it is not positive", "set it to the time between SIGTERM and SIGKILL")
	return faults
}
