package rosesoak

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// minFaultInterval and maxFaultInterval bound the time between the starts of
	// two faults. Faults may overlap.
	minFaultInterval = 300 * time.Millisecond
	maxFaultInterval = 2 * time.Second
	// minFaultDuration and maxFaultDuration bound the duration of a fault, which is
	// ended when the next fault after this time starts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// restartInterval is the time between checks for exited processes.
	restartInterval = 300 * time.Millisecond
)

// fault is a kind of fault that the soak injects.
type fault struct {
	name string
	// inject starts the fault. It returns a function to end it, and the name of the
	// affected proxy or target, if any.
	inject func(s *soak) (end func(), subject string)
}

var faults = []fault{
	{"terminate a proxy", func(s *soak) (func(), string) { return s.signalRandomProxy(syscall.SIGTERM, 0) }},
	{"kill a proxy", func(s *soak) (func(), string) { return s.signalRandomProxy(syscall.SIGKILL, 0) }},
	{"pause a proxy", func(s *soak) (func(), string) { return s.signalRandomProxy(syscall.SIGSTOP, syscall.SIGCONT) }},
	{"hang up a proxy", func(s *soak) (func(), string) { return s.signalRandomProxy(syscall.SIGHUP, 0) }},
	{"crash the primary", func(s *soak) (func(), string) { return s.crashTarget(s.primary()) }},
	{"crash a target", func(s *soak) (func(), string) { return s.crashTarget(pickRandom(s, s.targets)) }},
	{"silence the primary", func(s *soak) (func(), string) { return s.setRelayMode(s.primary(), modeStall) }},
	{"silence a target", func(s *soak) (func(), string) { return s.setRelayMode(pickRandom(s, s.targets), modeStall) }},
	{"hold a target's answers", func(s *soak) (func(), string) { return s.setRelayMode(pickRandom(s, s.targets), modeStallReplies) }},
	{"slow a target", func(s *soak) (func(), string) { return s.setRelayMode(pickRandom(s, s.targets), modeDelay) }},
	{"reset a target's connections", func(s *soak) (func(), string) {
		t := pickRandom(s, s.targets)
		t.relay.closeConns()
		return func() {}, string(t.id)
	}},
	{"lose answers", func(s *soak) (func(), string) {
		t := s.primary()
		t.DropAnswers(3)
		return func() {}, string(t.id)
	}},
	{"store down", func(s *soak) (func(), string) {
		s.store.SetDown(true)
		return func() { s.store.SetDown(false) }, ""
	}},
	{"store out of reach of one proxy", func(s *soak) (func(), string) {
		p := pickRandom(s, s.processes)
		p.storeRelay.setMode(modeStall)
		return func() { p.storeRelay.setMode(modeForward) }, p.name
	}},
	{"store loses answers", func(s *soak) (func(), string) {
		s.store.DropResponses(2)
		return func() {}, ""
	}},
	{"store loses history", func(s *soak) (func(), string) {
		s.store.Compact()
		return func() {}, ""
	}},
}

func pickRandom[T any](s *soak, items []T) T { return items[s.random.IntN(len(items))] }

func (s *soak) primary() *target {
	for _, t := range s.targets {
		if t.id == s.group.CurrentPrimary() {
			return t
		}
	}
	return s.targets[0]
}

// signalRandomProxy sends startSignal to a proxy. The returned function sends
// endSignal, unless it is 0.
func (s *soak) signalRandomProxy(startSignal, endSignal syscall.Signal) (func(), string) {
	p := pickRandom(s, s.processes)
	p.signal(startSignal)
	return func() {
		if endSignal != 0 {
			p.signal(endSignal)
		}
	}, p.name
}

func (s *soak) crashTarget(t *target) (func(), string) {
	if !t.Running() {
		return func() {}, "none"
	}
	t.Crash()
	return t.Restart, string(t.id)
}

func (s *soak) setRelayMode(t *target, m relayMode) (func(), string) {
	t.relay.setMode(m)
	return func() { t.relay.setMode(modeForward) }, string(t.id)
}

// injectFaults starts random faults until ctx ends, and then ends those that are
// still active. Meanwhile it restarts exited proxies.
func (s *soak) injectFaults(ctx context.Context) {
	var ends []func()
	endTimes := make(map[int]time.Time)
	restartCtx, stopRestarts := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.restartExited(restartCtx) })
	defer stopRestarts()
	for ctx.Err() == nil {
		for n, at := range endTimes {
			if time.Now().After(at) {
				ends[n]()
				delete(endTimes, n)
			}
		}
		f := pickRandom(s, faults)
		end, subject := f.inject(s)
		duration := minFaultDuration + time.Duration(s.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		fmt.Fprintf(s.config.Out, "%.2f s: %s %s for %v\n", time.Since(s.started).Seconds(), f.name, subject, duration.Round(time.Millisecond))
		endTimes[len(ends)] = time.Now().Add(duration)
		ends = append(ends, end)
		s.mu.Lock()
		s.report.Faults++
		s.mu.Unlock()
		sleep(ctx, minFaultInterval+time.Duration(s.random.Int64N(int64(maxFaultInterval-minFaultInterval))))
	}
	for n := range endTimes {
		ends[n]()
	}
}

// restartExited restarts processes that have exited, as the platform does.
func (s *soak) restartExited(ctx context.Context) {
	for sleep(ctx, restartInterval) {
		for _, p := range s.processes {
			running, unexpected := p.running()
			if running {
				continue
			}
			if unexpected {
				s.addViolation("process %s exited unexpectedly; its log is %s and ends:\n%s", p.name, p.logPath, p.logTail())
			}
			if err := p.start(); err != nil {
				s.addViolation("process %s did not start: %v", p.name, err)
			}
		}
	}
}
