package rosesoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// graceTime is the GraceTime setting of the proxies, and the time between SIGTERM
// and SIGKILL.
const graceTime = 6 * time.Second

// process is a rosemaryd process, which is restarted under the same name.
type process struct {
	name         string
	zone         string
	program      string
	settingsPath string
	logPath      string
	address      string
	storeRelay   *tcpRelay

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// exitExpected is set once the soak has sent a signal that ends the process.
	exitExpected bool
	// disrupted is set once the process was killed or paused: responses under way
	// may be lost.
	disrupted bool
}

const settingsTemplate = `Name = %q
Zone = %q

[Listen]
Callers = %q
Ready = %q
Admin = %q
Peers = %q

[Store]
Address = %q

[Promoter]
Address = %q

[Limits]
CoreShare = 0.4
MemoryMb = 284
GraceTime = %q
`

// newProcess writes the settings of a process without starting it.
func newProcess(directory, program string, addresses *addressPool, name, zone, storeAddress, promoterAddress string) (*process, error) {
	var listened []any
	for range 4 {
		address, err := addresses.take()
		if err != nil {
			return nil, err
		}
		listened = append(listened, address)
	}
	relay, err := newTCPRelay(storeAddress)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &process{
		name: name, zone: zone, program: program, storeRelay: relay, address: listened[0].(string),
		settingsPath: filepath.Join(directory, name+".toml"), logPath: filepath.Join(directory, name+".log"),
	}
	values := append([]any{name, zone}, listened...)
	text := fmt.Sprintf(settingsTemplate, append(values, relay.address(), promoterAddress, graceTime.String())...)
	return p, trace.ConvertSystemError(os.WriteFile(p.settingsPath, []byte(text), 0o600))
}

// exitReportBytes is how much of a log is reported after an unexpected exit.
const exitReportBytes = 2 << 10

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-exitReportBytes):])
}

// start starts the process; its output is appended to its log.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer log.Close()
	command := exec.Command(p.program, "-platform")
	command.Env = append(os.Environ(), "ROSEMARY_SETTINGS="+p.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return trace.ConvertSystemError(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited, p.exitExpected, p.disrupted = command, exited, false, false
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it has not exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	p.exitExpected = p.exitExpected || s == syscall.SIGTERM || s == syscall.SIGKILL
	p.disrupted = p.disrupted || s == syscall.SIGKILL || s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s)
}

// running reports whether the process runs and, if not, whether it exited
// although the soak hadn't sent SIGTERM or SIGKILL.
func (p *process) running() (running, unexpected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false, !p.exitExpected
	default:
		return true, false
	}
}

// mustAnswer reports whether the process has to answer every request it has
// read.
func (p *process) mustAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.disrupted
}

// stop ends the process with SIGTERM, and with SIGKILL after graceTime. A paused
// process has to be resumed first to handle SIGTERM.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}
