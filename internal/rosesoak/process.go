package rosesoak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// graceTime is the time between SIGTERM and SIGKILL.
const graceTime = 6 * time.Second

// process is one rosemaryd, started again and again under one name.
type process struct {
	name     string
	zone     string
	program  string
	settings string
	log      string
	callers  string
	store    *wire

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// expected is set once the soak has sent a signal that ends the process.
	expected bool
	// harsh is set once it was killed or paused: what it owed may be lost.
	harsh bool
}

const (
	// firstPort and lastPort are below the ports that the system gives to
	// outgoing connections, which could take one while its process is down.
	firstPort = 15000
	lastPort  = 30000
	// portTries bounds the ports that are tried.
	portTries = 100
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	var failure error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, trace.ConvertSystemError(listener.Close())
		}
		failure = err
	}
	return "", trace.ConvertSystemError(failure)
}

const settingsForm = `Name = %q
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

// newProcess writes the settings of a process that doesn't run yet.
func newProcess(directory, program, name, zone, store, promoter string) (*process, error) {
	var addresses []any
	for range 4 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	before, err := newWire(store)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &process{
		name: name, zone: zone, program: program, store: before, callers: addresses[0].(string),
		settings: filepath.Join(directory, name+".toml"), log: filepath.Join(directory, name+".log"),
	}
	values := append([]any{name, zone}, addresses...)
	text := fmt.Sprintf(settingsForm, append(values, before.address(), promoter, graceTime.String())...)
	return p, trace.ConvertSystemError(os.WriteFile(p.settings, []byte(text), 0o600))
}

// start runs the process.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer log.Close()
	command := exec.Command(p.program, "-platform")
	command.Env = append(os.Environ(), "ROSEMARY_SETTINGS="+p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return trace.ConvertSystemError(err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended, p.expected, p.harsh = command, ended, false, false
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that this soak started, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return
	default:
	}
	p.expected = p.expected || s == syscall.SIGTERM || s == syscall.SIGKILL
	p.harsh = p.harsh || s == syscall.SIGKILL || s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s)
}

// running reports whether the process runs, and whether it ended by itself.
func (p *process) running() (running, byItself bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return false, !p.expected
	default:
		return true, false
	}
}

// owes reports whether an answer that this process owes must come.
func (p *process) owes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.harsh
}

// stop ends the process: by SIGTERM, and by SIGKILL after the grace.
func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}
