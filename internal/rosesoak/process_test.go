package rosesoak

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnexpectedExitIsReportedWithItsLog starts a program that fails at once.
func TestUnexpectedExitIsReportedWithItsLog(t *testing.T) {
	c := qt.New(t)
	directory := t.TempDir()
	program := filepath.Join(directory, "program")
	c.Assert(os.WriteFile(program, []byte("#!/bin/sh\necho address already in use\nexit 1\n"), 0o700), qt.IsNil)
	p, err := newProcess(directory, program, newAddressPool(), "proxy-1", "zone-a", "127.0.0.1:1", "127.0.0.1:1")
	c.Assert(err, qt.IsNil)
	defer p.storeRelay.close()
	c.Assert(p.start(), qt.IsNil)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		c.Fatal("the program didn't exit")
	}
	s := &soak{processes: []*process{p}, started: time.Now()}
	s.config.Out = &strings.Builder{}
	ctx, cancel := context.WithTimeout(context.Background(), 2*restartInterval)
	defer cancel()
	s.restartExited(ctx)
	c.Assert(len(s.report.Violations) > 0, qt.IsTrue)
	c.Check(s.report.Violations[0], qt.Contains, "exited unexpectedly")
	c.Check(s.report.Violations[0], qt.Contains, "address already in use")
	<-p.exited
}

// TestSoaksListenApart takes the port of one soak's process that is down on another
// soak's host, which must not keep the process from starting again.
func TestSoaksListenApart(t *testing.T) {
	c := qt.New(t)
	pool, other := newAddressPool(), newAddressPool()
	c.Assert(pool.host, qt.Not(qt.Equals), other.host)
	address, err := pool.take()
	c.Assert(err, qt.IsNil)
	_, port, err := net.SplitHostPort(address)
	c.Assert(err, qt.IsNil)
	taken, err := net.Listen("tcp", net.JoinHostPort(other.host, port))
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	own, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	own.Close()
}
