package rosesoak

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// leastPause and mostPause separate the starts of faults, which overlap.
	leastPause = 300 * time.Millisecond
	mostPause  = 2 * time.Second
	// leastFault and mostFault bound how long one lasts.
	leastFault = 200 * time.Millisecond
	mostFault  = 4 * time.Second
	// restartPause is how long a process that ended stays down.
	restartPause = 300 * time.Millisecond
)

// fault is one kind of trouble. It begins, and returns how it ends.
type fault struct {
	name  string
	begin func(s *soak) (end func(), what string)
}

var faults = []fault{
	{"terminate a proxy", func(s *soak) (func(), string) { return s.signalOne(syscall.SIGTERM, 0) }},
	{"kill a proxy", func(s *soak) (func(), string) { return s.signalOne(syscall.SIGKILL, 0) }},
	{"pause a proxy", func(s *soak) (func(), string) { return s.signalOne(syscall.SIGSTOP, syscall.SIGCONT) }},
	{"hang up a proxy", func(s *soak) (func(), string) { return s.signalOne(syscall.SIGHUP, 0) }},
	{"crash the primary", func(s *soak) (func(), string) { return s.crash(s.primary()) }},
	{"crash a target", func(s *soak) (func(), string) { return s.crash(pick(s, s.targets)) }},
	{"silence the primary", func(s *soak) (func(), string) { return s.wireFault(s.primary(), modeSilent) }},
	{"silence a target", func(s *soak) (func(), string) { return s.wireFault(pick(s, s.targets), modeSilent) }},
	{"hold a target's answers", func(s *soak) (func(), string) { return s.wireFault(pick(s, s.targets), modeDeaf) }},
	{"slow a target", func(s *soak) (func(), string) { return s.wireFault(pick(s, s.targets), modeSlow) }},
	{"reset a target's connections", func(s *soak) (func(), string) {
		t := pick(s, s.targets)
		t.wire.reset()
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
		p := pick(s, s.processes)
		p.store.set(modeSilent)
		return func() { p.store.set(modePass) }, p.name
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

func pick[T any](s *soak, of []T) T { return of[s.random.IntN(len(of))] }

func (s *soak) primary() *target {
	for _, t := range s.targets {
		if t.id == s.group.CurrentPrimary() {
			return t
		}
	}
	return s.targets[0]
}

func (s *soak) signalOne(begin, end syscall.Signal) (func(), string) {
	p := pick(s, s.processes)
	p.signal(begin)
	return func() {
		if end != 0 {
			p.signal(end)
		}
	}, p.name
}

func (s *soak) crash(t *target) (func(), string) {
	if !t.Running() {
		return func() {}, "none"
	}
	t.Crash()
	return t.Restart, string(t.id)
}

func (s *soak) wireFault(t *target, m mode) (func(), string) {
	t.wire.set(m)
	return func() { t.wire.set(modePass) }, string(t.id)
}

// play begins faults in series that overlap, until ctx ends, and ends them all.
func (s *soak) play(ctx context.Context) {
	var open []func()
	due := make(map[int]time.Time)
	keeping, stop := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.keep(keeping) })
	defer stop()
	for ctx.Err() == nil {
		for n, at := range due {
			if time.Now().After(at) {
				open[n]()
				delete(due, n)
			}
		}
		f := pick(s, faults)
		end, what := f.begin(s)
		span := leastFault + time.Duration(s.random.Int64N(int64(mostFault-leastFault)))
		fmt.Fprintf(s.config.Out, "%.2f s: %s %s for %v\n", time.Since(s.started).Seconds(), f.name, what, span.Round(time.Millisecond))
		due[len(open)] = time.Now().Add(span)
		open = append(open, end)
		s.mu.Lock()
		s.report.Faults++
		s.mu.Unlock()
		sleep(ctx, leastPause+time.Duration(s.random.Int64N(int64(mostPause-leastPause))))
	}
	for n := range due {
		open[n]()
	}
}

// keep starts processes that ended again, as the platform does.
func (s *soak) keep(ctx context.Context) {
	for sleep(ctx, restartPause) {
		for _, p := range s.processes {
			running, byItself := p.running()
			if running {
				continue
			}
			if byItself {
				s.violate("process %s ended by itself, see %s", p.name, p.log)
			}
			if err := p.start(); err != nil {
				s.violate("process %s does not start: %v", p.name, err)
			}
		}
	}
}
