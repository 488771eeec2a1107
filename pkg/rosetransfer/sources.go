package rosetransfer

import (
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// busyTime is how long a source that was busy isn't asked again.
	busyTime = 80 * time.Millisecond
	// failedTime is how long a source that didn't answer isn't.
	failedTime = time.Second
)

// Sources are the proxies that have named a version. It isn't safe for concurrent use.
type Sources struct {
	known map[rosemary.ProxyID]source
}

type source struct {
	version int64
	// notBefore is when it may be asked again, and failed is set if it didn't answer.
	notBefore time.Time
	failed    bool
}

// NewSources returns no sources.
func NewSources() *Sources { return &Sources{known: make(map[rosemary.ProxyID]source)} }

// Add records that a proxy has named a version.
func (s *Sources) Add(id rosemary.ProxyID, version int64) {
	known := s.known[id]
	known.version = max(known.version, version)
	s.known[id] = known
}

// Next returns the source to ask for a version newer than one: of those that may be asked now one
// of the newest version, and of these one of the highest rank. An older version is better than to
// wait for a source that is silent, but not than to wait for one that is busy. If none may be asked
// yet, it returns how long to wait; zero if no source has a newer version.
func (s *Sources) Next(now time.Time, current int64, rank func(rosemary.ProxyID) int) (id rosemary.ProxyID, version int64, wait time.Duration) {
	best, busy := 0, int64(0)
	// Maps are iterated in random order, which spreads the proxies over the sources.
	for candidate, known := range s.known {
		if known.version <= current {
			continue
		}
		if left := known.notBefore.Sub(now); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			if !known.failed {
				busy = max(busy, known.version)
			}
			continue
		}
		if r := rank(candidate); known.version > version || known.version == version && r > best {
			id, version, best = candidate, known.version, r
		}
	}
	if id != "" && version >= busy {
		return id, version, 0
	}
	return "", 0, wait
}

// RecordBusy records that a source sends to others.
func (s *Sources) RecordBusy(now time.Time, id rosemary.ProxyID) {
	s.delay(id, now.Add(busyTime), false)
}

// RecordFailure records that a source didn't answer.
func (s *Sources) RecordFailure(now time.Time, id rosemary.ProxyID) {
	s.delay(id, now.Add(failedTime), true)
}

func (s *Sources) delay(id rosemary.ProxyID, until time.Time, failed bool) {
	if known, found := s.known[id]; found {
		known.notBefore, known.failed = until, failed
		s.known[id] = known
	}
}

// Remove forgets a source: it has no link, or not the version.
func (s *Sources) Remove(id rosemary.ProxyID) { delete(s.known, id) }

// Forget forgets the sources of versions that aren't newer than one.
func (s *Sources) Forget(version int64) {
	for id, known := range s.known {
		if known.version <= version {
			delete(s.known, id)
		}
	}
}
