package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cloud is the platform's API for promotions. Each proxy has an address of its own, whose
// path to the platform may delay what is sent on a new connection.
type cloud struct {
	record   *record
	services map[string]*service

	mu    sync.Mutex
	delay map[string]time.Duration
	// slow is how long the platform takes over a call that it has read.
	slow time.Duration
}

func (c *cloud) setSlow(slow time.Duration) {
	c.record.add("platform: takes %v over a promotion", slow)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = slow
}

func (c *cloud) setDelay(proxy string, delay time.Duration) {
	c.record.add("platform: the path of %s takes %v", proxy, delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay[proxy] = delay
}

// serve serves one proxy: a relay that delays, in front of the platform.
func (c *cloud) serve(proxy string) string {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	go http.Serve(server, http.HandlerFunc(c.promote))
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	go func() {
		for {
			conn, err := relay.Accept()
			if err != nil {
				return
			}
			go c.relay(proxy, conn, server.Addr().String())
		}
	}()
	return relay.Addr().String()
}

// relay passes a connection on. Bytes that are on their way when the proxy resets the
// connection are lost, as on a network.
func (c *cloud) relay(proxy string, conn net.Conn, to string) {
	defer conn.Close()
	c.mu.Lock()
	delay := c.delay[proxy]
	c.mu.Unlock()
	started := time.Now()
	buffer := make([]byte, 64<<10)
	n, err := conn.Read(buffer)
	if err != nil {
		return
	}
	held := make([]byte, n)
	copy(held, buffer[:n])
	if delay > 0 {
		// A reset while the bytes are held drops them.
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			ended <- err
		}()
		select {
		case <-ended:
			c.record.add("platform: an order of %s was dropped on its way after %v", proxy, time.Since(started).Round(time.Millisecond))
			return
		case <-time.After(delay - time.Since(started)):
		}
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	if _, err := out.Write(held); err != nil {
		return
	}
	for {
		n, err := out.Read(buffer)
		if n > 0 {
			if _, err := conn.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *cloud) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || c.services[body.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	slow := c.slow
	c.mu.Unlock()
	if slow > 0 {
		c.record.add("platform: %s has sent the promotion of %s", r.Header.Get("X-Lease-Holder"), body.ID)
		time.Sleep(slow)
	}
	w.WriteHeader(c.services[body.Service].promote(body.ID, r.Header.Get("X-Lease-Holder"), token))
}

// proxy is one of the project's processes.
type proxy struct {
	name, zone            string
	front, ready, control string
	command               *exec.Cmd
	ended                 chan struct{}
}

var proxies []*proxy

// settings is the project's template for a small deployment, filled in.
const settings = `Name = %q
Zone = %q
Seeds = []
Region = "r"
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
`

// freePorts returns addresses that nothing listens on.
func freePorts(count int) []string {
	var addresses []string
	var listeners []net.Listener
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("%v", err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	return addresses
}

// startProxy starts a proxy with the command of the deploy file.
func startProxy(dir, name, zone string, s *store, c *cloud) *proxy {
	a := freePorts(4)
	p := &proxy{name: name, zone: zone, front: a[0], ready: a[1], control: a[2]}
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settings, name, zone, a[0], a[1], a[2], a[3], s.serve(name), c.serve(name))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	p.run(dir)
	proxies = append(proxies, p)
	return p
}

// run starts the process of a proxy.
func (p *proxy) run(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	command, ended := exec.Command("target/rosemaryd", "-platform"), make(chan struct{})
	command.Env = []string{"ROSEMARY_SETTINGS=" + filepath.Join(dir, p.name+".toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		fail("%v", err)
	}
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		log.Close()
		close(ended)
	}()
}

// memoryMB is the memory of a proxy's machine in MiB, as in its settings.
const memoryMB = 284

// limitMemory ends a proxy that exceeds its memory, as the platform does, and starts it again
// after a short delay. It returns how often it has done so.
func (p *proxy) limitMemory(w *world, kills *atomic.Int64, stop <-chan struct{}) {
	most := 0
	for {
		select {
		case <-stop:
			w.record.add("platform: %s used %d MiB at most", p.name, most)
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentMB(p.command.Process.Pid)
		most = max(most, used)
		if used <= memoryMB {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
		kills.Add(1)
		w.record.add("platform: kills %s, which uses %d MiB of %d", p.name, used, memoryMB)
		time.Sleep(500 * time.Millisecond)
		p.run(w.dir)
		w.record.add("platform: starts %s again", p.name)
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// awaitReady waits until the proxies are ready.
func awaitReady(ps ...*proxy) {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range ps {
		for {
			response, err := http.Get("http://" + p.ready + "/api/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fail("%s isn't ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// stopProxies ends the processes that were started.
func stopProxies() {
	for _, p := range proxies {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
}
