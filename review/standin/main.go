// Command standin plays one case of the review: it starts the system's processes with the
// command of the deploy file, and stand-ins of the platform, the backends and the clients. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// program is the system's program.
const program = "target/rosemaryd"

var (
	recordMu  sync.Mutex
	recordOut *bufio.Writer
	started   = time.Now()
	folder    string
)

// record writes a line to the record.
func record(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordOut, "%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, arguments...))
}

// finish ends the processes and exits.
func finish(code int) {
	var stops sync.WaitGroup
	for _, p := range proxies {
		stops.Go(p.stop)
	}
	stops.Wait()
	recordMu.Lock()
	_ = recordOut.Flush()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	os.Exit(code)
}

func fail(format string, arguments ...any) {
	record("can't run: "+format, arguments...)
	fmt.Printf("can't run: "+format+"\n", arguments...)
	finish(2)
}

// verdict reports the result of a case and exits.
func verdict(broken bool, format string, arguments ...any) {
	result, code := "held: ", 0
	if broken {
		result, code = "broken: ", 1
	}
	text := result + fmt.Sprintf(format, arguments...)
	record("%s", text)
	fmt.Println(text)
	finish(code)
}

// trouble is the disruption that is played: all, a part that a case names, or none.
func trouble() string {
	if t := os.Getenv("TROUBLE"); t != "" {
		return t
	}
	return "all"
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	recordOut = bufio.NewWriter(out)
	if folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	if _, err := os.Stat(program); err != nil {
		fail("%s isn't built", program)
	}
	time.AfterFunc(maxDuration, func() { fail("it took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fail("it was stopped")
	}()
	play, found := cases[os.Args[1]]
	if !found {
		fail("unknown case %s", os.Args[1])
	}
	record("trouble: %s", trouble())
	play()
}

var cases = map[string]func(){
	"late-successor": lateSuccessor,
	"late-order":     lateOrder,
	"shapes":         shapes,
	"line-feed":      lineFeed,
	// Those without a folder of their own.
	"half-line":   halfLine,
	"stuck-fence": stuckFence,
	"stray-entry": strayEntry,
	"small-zone":  smallZone,
	"revoked":     revoked,
}

// installation is a small deployment: a store, an API for promotions, a group of three
// backends and processes in three zones.
type installation struct {
	store   *store
	group   *group
	cloud   *cloud
	proxies []*proxy

	storeAddress, cloudAddress string
}

// addMachine adds a machine, whose process is still to be started.
func (i *installation) addMachine() *proxy {
	n := len(i.proxies) + 1
	p := newProxy(folder, fmt.Sprintf("edge-%d", n), zoneOf(n), i.storeAddress, i.cloudAddress)
	i.proxies = append(i.proxies, p)
	return p
}

const database = "ledger-db"

// staleness is the age of the store's stale reads.
var staleness time.Duration

// zoneOf returns the zone of the nth machine: up to twelve are in three zones, further ones in a
// fourth and a fifth by turns.
func zoneOf(n int) string {
	if n > 12 {
		return fmt.Sprintf("zone-%d", (n-1)%2+4)
	}
	return fmt.Sprintf("zone-%d", (n-1)%3+1)
}

// route is a route of the configuration.
func route(host, kind string, staleness int) map[string]any {
	return map[string]any{
		"name": "r-" + host, "host": host, "prefix": "/", "type": kind, "timeout_ms": 800, "slo_ms": 150,
		"priority": 1, "service": groupName, "attempts": 2, "max_staleness_ms": staleness,
	}
}

// install starts a deployment with a process in each of the zones.
func install(syncReplicas, txIdleMs, processes int) *installation {
	i := &installation{store: newStore()}
	i.store.staleness = staleness
	i.store.putJSON("op/config", map[string]any{
		"version":  1,
		"routes":   []any{route(database, "primary", 0), route("reports-db", "bounded_staleness", 1500)},
		"services": []any{map[string]any{"name": groupName, "max_conns": 22, "sync_replicas": syncReplicas}},
		"limits":   map[string]any{"tx_idle_ms": txIdleMs},
	})
	i.group = newGroup(i.store, syncReplicas)
	i.cloud = &cloud{group: i.group}
	storeListener, cloudListener := listen(), listen()
	go i.store.serve(storeListener)
	go i.cloud.serve(cloudListener)
	i.storeAddress, i.cloudAddress = storeListener.Addr().String(), cloudListener.Addr().String()
	for range processes {
		i.addMachine()
	}
	for _, p := range i.proxies {
		p.start()
	}
	awaitReady()
	return i
}

// holder returns the process that holds the duty of the group.
func (i *installation) holder() *proxy {
	text := i.store.get("Rosemarywell/Duties/" + groupName)
	for _, p := range i.proxies {
		if strings.Contains(text, `"`+p.name+`"`) {
			return p
		}
	}
	return nil
}

// writer sends one write after the other over sessions of its own, and keeps the ids of those
// that were acknowledged.
type writer struct {
	mu    sync.Mutex
	acked []string
	codes map[string]int
	stop  chan struct{}
}

// write has clients of every process write until stopped.
func (i *installation) write(perProcess int, pause time.Duration) *writer {
	w := &writer{codes: map[string]int{}, stop: make(chan struct{})}
	for n, p := range i.proxies {
		for m := range perProcess {
			go w.run(p, fmt.Sprintf("%d%d", n+1, m), pause)
		}
	}
	return w
}

func (w *writer) run(p *proxy, name string, pause time.Duration) {
	var c *client
	for count := 0; ; count++ {
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = dial(p, database); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("w%s-%05d", name, count)
		a, err := c.query(id, fmt.Sprintf("WRITE item%d %s", count%50, id))
		w.mu.Lock()
		switch {
		case err != nil:
			w.codes["no answer"]++
			record("write %s at %s: no answer", id, p.name)
		case a.code != "":
			w.codes[a.code]++
			record("write %s at %s: ERROR %s", id, p.name, a.code)
		default:
			w.codes["success"]++
			w.acked = append(w.acked, id)
			record("write %s at %s: success %s", id, p.name, a.digest)
		}
		w.mu.Unlock()
		if err != nil || a.state != "I" {
			c.conn.Close()
			c = nil
		}
	}
}

// acknowledged returns the writes that were acknowledged so far.
func (w *writer) acknowledged() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.acked...)
}

func (w *writer) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprint(w.codes)
}
