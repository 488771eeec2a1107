// Command standin2 plays the cases of the review that are scripts. It has stand-ins for the
// platform's store, its API for promotions, the backends and the clients, starts the project's
// proxies as processes, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// world is what a case is played in.
type world struct {
	record  *record
	store   *store
	cloud   *cloud
	dir     string
	trouble bool
	proxies []*proxy
}

func (w *world) service(name string, zones ...string) *service {
	v := newService(name, w.record, w.store, zones...)
	w.cloud.services[name] = v
	return v
}

func (w *world) start(name, zone string) *proxy {
	p := startProxy(w.dir, name, zone, w.store, w.cloud)
	w.proxies = append(w.proxies, p)
	return p
}

// configure writes the operator's configuration: one route of type primary to a service.
func (w *world) configure(database, service string) {
	w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": database, "prefix": "/", "type": "primary", "timeout_ms": 800, "slo_ms": 150,
			"priority": 1, "service": service, "attempts": 2,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 40, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 5000},
	})
}

// await waits until a condition holds, at most for a time.
func await(what string, limit time.Duration, holds func() bool) {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			fail("waited in vain for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

var cases = map[string]func(*world) []string{
	"two-holders":    twoHolders,
	"grey-set":       greySet,
	"refused-commit": refusedCommit,
	"late-order":     lateOrder,
	"big-answers":    bigAnswers,
	"slow-order":     slowOrder,
	"stray-entry":    strayEntry,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fail("no case %q", *name)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	r := newRecord(*path)
	s := newStore(r)
	w := &world{
		record: r, store: s, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		cloud: &cloud{record: r, services: map[string]*service{}, delay: map[string]time.Duration{}},
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		fail("it was stopped, or took too long")
	}()
	broken := play(w)
	stopProxies()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	for _, b := range broken {
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}
