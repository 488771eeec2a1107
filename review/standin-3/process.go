package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proxy is one process under test.
type proxy struct {
	name, zone, folder            string
	callers, ready, admin, peers  string
	store, promoter, settingsPath string
	command                       *exec.Cmd
}

// children are the processes that were started and haven't ended. None is started once they are
// being ended.
var children = struct {
	sync.Mutex
	pids  map[int]bool
	ended bool
}{pids: make(map[int]bool)}

// The ports for proxies lie below those that connections are given.
const (
	firstPort = 20_000
	ports     = 10_000
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() string {
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String()
	}
}

// writeSettings writes what the template of the deploy file yields.
func (p *proxy) writeSettings(firstStart bool) {
	first := ""
	if firstStart {
		first = "FirstStart = true\n"
	}
	text := fmt.Sprintf("Name = %q\nZone = %q\nSeeds = []\nRegion = \"region-1\"\n%s\n[Listen]\nCallers = %q\nReady = %q\nAdmin = %q\nPeers = %q\n\n"+
		"[Store]\nAddress = %q\n\n[Promoter]\nAddress = %q\n\n[Limits]\nCoreShare = 0.4\nMemoryMb = 284\nDescriptors = 4300\n"+
		"GraceTime = \"6s\"\nLeavingTime = \"7000ms\"\nConfigurationTime = \"3000ms\"\n",
		p.name, p.zone, first, p.callers, p.ready, p.admin, p.peers, p.store, p.promoter)
	must(os.WriteFile(p.settingsPath, []byte(text), 0o600))
}

// start starts the process with the command of the deploy file.
func (p *proxy) start(firstStart bool) {
	p.settingsPath = filepath.Join(p.folder, p.name+".toml")
	p.writeSettings(firstStart)
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	p.command = exec.Command("target/rosemaryd", "-platform")
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARY_SETTINGS=" + p.settingsPath}
	p.command.Stdout, p.command.Stderr = log, log
	children.Lock()
	if children.ended {
		children.Unlock()
		select {}
	}
	if err = p.command.Start(); err == nil {
		children.pids[p.pid()] = true
	}
	children.Unlock()
	must(err)
	log.Close()
}

func (p *proxy) pid() int { return p.command.Process.Pid }

// kill ends the process and waits for that.
func (p *proxy) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
	children.Lock()
	defer children.Unlock()
	delete(children.pids, p.pid())
}

// processOf returns the process that has opened a connection, of those started here; zero for
// none of them.
func processOf(conn net.Conn) int {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr))
	if inode == "" {
		return 0
	}
	children.Lock()
	pids := make([]int, 0, len(children.pids))
	for pid := range children.pids {
		pids = append(pids, pid)
	}
	children.Unlock()
	for _, pid := range pids {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			if link, err := os.Readlink(filepath.Join(folder, f.Name())); err == nil && link == "socket:["+inode+"]" {
				return pid
			}
		}
	}
	return 0
}

// socketInode returns the inode of the socket that is bound to a loopback address.
func socketInode(address *net.TCPAddr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	ip := address.IP.To4()
	wanted := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + ":" + fmt.Sprintf("%04X", address.Port)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == wanted {
			if _, err := strconv.Atoi(fields[9]); err == nil {
				return fields[9]
			}
		}
	}
	return ""
}

// survivesRestart stops the process in the planned way, starts it again, and sends it SIGHUP at
// once if there is to be trouble. It reports whether the process runs on; if so, it is stopped.
func (p *proxy) survivesRestart(r *record, trouble bool) bool {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	_ = p.command.Wait()
	p.start(false)
	r.write("started", "proxy", p.name, "pid", p.pid())
	if trouble {
		time.Sleep(hangupAfter)
		r.write("settings changed, SIGHUP", "proxy", p.name)
		_ = p.command.Process.Signal(syscall.SIGHUP)
	}
	ended := make(chan error, 1)
	command := p.command
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		r.write("process ended by itself", "proxy", p.name, "err", err)
		return false
	case <-time.After(startTime):
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
	<-ended
	return true
}
