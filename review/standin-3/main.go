// Command standin-3 plays the scripted cases of the review: it starts proxies as separate
// processes, is their platform, their database servers and their clients, and checks a rule.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemarywell/rosemarywell/platform/rosestandin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// maxTime bounds a case.
const maxTime = 112 * time.Second

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// write adds a line of key=value pairs.
func (r *record) write(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %q", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.file, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.file)
}

// interrupted is signaled when the case is to end.
func interrupted() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		endChildren()
		os.Exit(exitNoRun)
	}
}

// endChildren kills the processes that were started here.
func endChildren() {
	children.Lock()
	defer children.Unlock()
	children.ended = true
	for pid := range children.pids {
		if p, err := os.FindProcess(pid); err == nil {
			_ = p.Kill()
		}
	}
}

// deployment is a site with its proxies and clients.
type deployment struct {
	*site
	proxies map[string]*proxy
	names   []string

	acked sync.Map
	count atomic.Int64
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// zonesOf are the zones of the six proxies.
var zonesOf = []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c"}

func newDeployment(record *record, folder string, syncReplicas int) *deployment {
	d := &deployment{site: newSite(record, syncReplicas), proxies: make(map[string]*proxy)}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		d.register(d.group.add(fmt.Sprintf("i-%d", i+1), zone), "ready")
	}
	d.configure()
	promoter := d.servePromoter()
	for i, zone := range zonesOf {
		p := &proxy{name: fmt.Sprintf("edge-%d", i+1), zone: zone, folder: folder, promoter: promoter}
		p.callers, p.ready, p.admin, p.peers = freeAddress(), freeAddress(), freeAddress(), freeAddress()
		p.store = d.serveStore(p.name)
		d.proxies[p.name], d.names = p, append(d.names, p.name)
	}
	return d
}

// startClients has sessions at each proxy write, one statement after the other.
func (d *deployment) startClients(sessions int) {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	for _, name := range d.names {
		for n := range sessions {
			d.tasks.Go(func() { d.write(ctx, name, n) })
		}
	}
}

func (d *deployment) write(ctx context.Context, name string, session int) {
	var client *rosestandin.Client
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(10 * time.Millisecond)
		if client == nil {
			var err error
			if client, err = rosestandin.Dial(ctx, d.proxies[name].callers, "records"); err != nil {
				client = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d-%d", name, session, n)
		d.record.write("sent", "statement", id)
		reply, err := client.Query(id, fmt.Sprintf("WRITE k%s%d %d", name, session, n))
		switch {
		case err != nil:
			d.record.write("connection broken", "statement", id, "err", err)
			client.Close()
			client = nil
		case reply.Digest != "":
			d.record.write("acknowledged", "statement", id, "by", reply.Digest)
			d.acked.Store(id, time.Now())
			d.count.Add(1)
		default:
			d.record.write("refused", "statement", id, "code", reply.Code)
			time.Sleep(20 * time.Millisecond)
		}
	}
	if client != nil {
		client.Close()
	}
}

// awaitService waits until clients are served through all proxies.
func (d *deployment) awaitService(within time.Duration) bool {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		served := 0
		for _, name := range d.names {
			client, err := rosestandin.Dial(context.Background(), d.proxies[name].callers, "records")
			if err != nil {
				continue
			}
			if reply, err := client.Query("probe-"+name, "READ k"); err == nil && reply.Digest != "" {
				served++
			}
			client.Close()
		}
		if served == len(d.names) && d.holder(d.proxies[d.names[0]].store) != "" {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func main() {
	name := flag.String("case", "", "case to play: unlisted, synchronous or hangup")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	folder, err := os.MkdirTemp("", "review-3-")
	must(err)
	file, err := os.Create(*out)
	must(err)
	r := &record{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	result := make(chan int, 1)
	go func() {
		switch *name {
		case "unlisted":
			result <- playUnlisted(r, folder, trouble)
		case "synchronous":
			result <- playSynchronous(r, folder, trouble)
		case "hangup":
			result <- playHangup(r, folder, trouble)
		default:
			result <- exitNoRun
		}
	}()
	code := exitNoRun
	select {
	case code = <-result:
	case <-time.After(maxTime):
		r.write("the case took too long")
	case <-interrupted():
	}
	endChildren()
	r.write("end", "exit", code)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
		for _, l := range logs {
			text, _ := os.ReadFile(l)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(l)), text, 0o600)
		}
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}
