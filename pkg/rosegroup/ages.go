package rosegroup

import (
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// sampleSpacing thins the samples; dropping one only makes ages larger.
	sampleSpacing = 10 * time.Millisecond
	// maxSamples bounds the samples kept.
	maxSamples = 4096
)

// sample is a position that a primary was seen at.
type sample struct {
	at       time.Time
	term     uint64
	position rosemary.Position
	// valid is set once term is known to have been in force at the time.
	valid bool
}

// ages relates positions to times. A sample counts only once it is valid:
// a deposed primary that still answers would make replicas look young.
type ages struct {
	samples []sample
}

// add takes in the newest sample. Of those that wait to become valid, close
// ones replace each other.
func (a *ages) add(s sample) {
	size := len(a.samples)
	if size >= 2 && !a.samples[size-1].valid {
		last, before := a.samples[size-1], a.samples[size-2]
		still := !before.valid && last.position == s.position && before.position == s.position
		if still || last.at.Sub(before.at) < sampleSpacing {
			a.samples[size-1] = s
			return
		}
	}
	a.samples = append(a.samples, s)
	if len(a.samples) > maxSamples {
		a.samples = slices.Delete(a.samples, 0, maxSamples/4)
	}
}

// validate marks the samples of term that aren't later than current.
func (a *ages) validate(term uint64, current time.Time) {
	for i := len(a.samples) - 1; i >= 0; i-- {
		s := &a.samples[i]
		if s.valid || s.term != term {
			break
		}
		s.valid = !s.at.After(current)
	}
	a.compact()
}

// compact drops the earlier of two valid samples at one position.
func (a *ages) compact() {
	last := len(a.samples) - 1
	for i := last; i >= 1 && i > last-4; i-- {
		s, before := a.samples[i], a.samples[i-1]
		if s.valid && before.valid && s.position == before.position {
			a.samples = slices.Delete(a.samples, i-1, i)
			return
		}
	}
}

// freshAt returns the time of the newest valid sample at or before position.
func (a *ages) freshAt(position rosemary.Position) time.Time {
	for i := len(a.samples) - 1; i >= 0; i-- {
		if s := a.samples[i]; s.valid && position.AtLeast(s.position) {
			return s.at
		}
	}
	return time.Time{}
}
