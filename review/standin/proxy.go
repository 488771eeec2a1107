package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proxy is a process of the system, started with the command of the deploy file.
type proxy struct {
	name, zone           string
	front, ready, folder string
	settings             string
	store, cloud         *link
	command              *exec.Cmd
	done                 chan struct{}
	// ended are the times at which the process ended by itself, after which it is started again.
	endedMu sync.Mutex
	ended   []time.Time
	// ending is set while the process is being stopped.
	ending bool
}

// proxies are those that were started, which are ended with the case.
var proxies []*proxy

// given are the addresses that freeAddresses has returned.
var given = map[string]bool{}

// freeAddresses returns addresses whose ports are free now, below those that the system gives
// to outgoing connections.
func freeAddresses(n int) []string {
	var addresses []string
	// No address is given twice, as a process listens only later.
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if given[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			given[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// newProxy writes the settings of a process, which reaches the platform over links of its own.
func newProxy(folder, name, zone, storeAddress, cloudAddress string) *proxy {
	a := freeAddresses(4)
	p := &proxy{name: name, zone: zone, front: a[0], ready: a[1], folder: folder, store: newLink(storeAddress), cloud: newLink(cloudAddress)}
	p.settings = filepath.Join(folder, name+".toml")
	text := fmt.Sprintf(`Name = %q
Zone = %q
Seeds = []
Region = "region-1"
FirstStart = true

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
Descriptors = 4300
GraceTime = "6s"
LeavingTime = "7000ms"
ConfigurationTime = "3000ms"
`, name, zone, a[0], a[1], a[2], a[3], p.store.address(), p.cloud.address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		fail("can't write settings: %v", err)
	}
	proxies = append(proxies, p)
	return p
}

func (p *proxy) start() {
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("can't open a log: %v", err)
	}
	c := exec.Command(program, "-platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARY_SETTINGS=" + p.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("can't start %s: %v", program, err)
	}
	done := make(chan struct{})
	p.command, p.done = c, done
	go func() {
		_ = c.Wait()
		close(done)
		p.endedMu.Lock()
		defer p.endedMu.Unlock()
		if p.ending {
			return
		}
		p.ended = append(p.ended, time.Now())
		record("process %s ended by itself: %v", p.name, c.ProcessState)
		time.AfterFunc(restartDelay, p.startAgain)
	}()
	record("process %s started, zone %s, front %s", p.name, p.zone, p.front)
}

// restart kills the process and starts it again, with the settings of a system that runs.
func (p *proxy) restart() {
	p.setEnding(true)
	_ = p.command.Process.Kill()
	<-p.done
	record("process %s was killed", p.name)
	p.setFirstStart(false)
	p.setEnding(false)
	time.AfterFunc(restartDelay, p.startAgain)
}

// startAgain starts a process that has ended, unless it is to stay ended.
func (p *proxy) startAgain() {
	p.endedMu.Lock()
	defer p.endedMu.Unlock()
	if !p.ending {
		p.start()
	}
}

// setFirstStart writes into the settings whether the whole system starts for the first time.
func (p *proxy) setFirstStart(first bool) {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		fail("can't read settings: %v", err)
	}
	changed := strings.Replace(string(text), fmt.Sprintf("FirstStart = %v", !first), fmt.Sprintf("FirstStart = %v", first), 1)
	if err := os.WriteFile(p.settings, []byte(changed), 0o600); err != nil {
		fail("can't write settings: %v", err)
	}
}

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 700 * time.Millisecond

func (p *proxy) setEnding(ending bool) {
	p.endedMu.Lock()
	defer p.endedMu.Unlock()
	p.ending = ending
}

// stop ends the process by its id.
func (p *proxy) stop() { p.stopWithin(time.Second) }

// stopWithin sends SIGTERM, and SIGKILL after the grace time.
func (p *proxy) stopWithin(grace time.Duration) {
	if p.command == nil {
		return
	}
	p.setEnding(true)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// awaitReady waits until every process answers its readiness check.
func awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range proxies {
		for {
			r, err := http.Get("http://" + p.ready + "/api/ready")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fail("%s isn't ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record("all processes are ready")
}

// answer is the answer to one statement.
type answer struct {
	rows                []string
	digest, code, state string
}

// client is one session at a process.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(p *proxy, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	if err := c.send("CONNECT " + database + " u1\r\n"); err != nil {
		return nil, err
	}
	line, err := c.line(2 * time.Second)
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("unexpected %q", line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) send(text string) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.conn.Write([]byte(text))
	return err
}

func (c *client) line(wait time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	return readMessage(c.reader)
}

// query runs a statement.
func (c *client) query(id, text string) (answer, error) {
	if err := c.send("QUERY " + id + " " + text + "\r\n"); err != nil {
		return answer{}, err
	}
	return c.receive()
}

// receive reads one answer.
func (c *client) receive() (answer, error) {
	var a answer
	for {
		line, err := c.line(5 * time.Second)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.digest = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected %q", line)
		}
	}
}

func (a answer) String() string {
	if a.code != "" {
		return "ERROR " + a.code + ", READY " + a.state
	}
	return fmt.Sprintf("ROW %q, COMPLETE %s, READY %s", a.rows, a.digest, a.state)
}
