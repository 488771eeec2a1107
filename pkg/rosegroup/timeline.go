package rosegroup

import (
	"slices"
	"time"

	"github.com/rosemarywell/rosemarywell/pkg/rosemary"
)

const (
	// minSampleInterval separates the samples kept. Dropping a sample can only
	// overstate the age of a replica's data.
	minSampleInterval = 10 * time.Millisecond
	// maxSamples limits the memory used.
	maxSamples = 4096
)

// sample is a position reported by a primary.
type sample struct {
	at       time.Time
	term     uint64
	position rosemary.Position
	// valid is set once term is known to have been in force at that time.
	valid bool
}

// timeline maps positions of the primary to times. A sample counts only once
// it is valid: a deposed primary that still answers would make replicas look
// up to date.
type timeline struct {
	samples []sample
}

// add appends s, the newest sample. If the last sample isn't valid yet, s
// replaces it in two cases: the last two samples and s have the same position
// and none is valid, or the last two were taken within minSampleInterval.
func (t *timeline) add(s sample) {
	size := len(t.samples)
	if size >= 2 && !t.samples[size-1].valid {
		last, before := t.samples[size-1], t.samples[size-2]
		unchanged := !before.valid && last.position == s.position && before.position == s.position
		if unchanged || last.at.Sub(before.at) < minSampleInterval {
			t.samples[size-1] = s
			return
		}
	}
	t.samples = append(t.samples, s)
	if len(t.samples) > maxSamples {
		t.samples = slices.Delete(t.samples, 0, maxSamples/4)
	}
}

// validate marks the samples of term that were taken no later than current.
func (t *timeline) validate(term uint64, current time.Time) {
	for i := len(t.samples) - 1; i >= 0; i-- {
		s := &t.samples[i]
		if s.valid || s.term != term {
			break
		}
		s.valid = !s.at.After(current)
	}
	t.compact()
}

// compact drops the earlier of two adjacent valid samples at the same position.
// It checks only the newest samples and drops at most one.
func (t *timeline) compact() {
	last := len(t.samples) - 1
	for i := last; i >= 1 && i > last-4; i-- {
		s, before := t.samples[i], t.samples[i-1]
		if s.valid && before.valid && s.position == before.position {
			t.samples = slices.Delete(t.samples, i-1, i)
			return
		}
	}
}

// timeOf returns the time of the newest valid sample at or before position.
func (t *timeline) timeOf(position rosemary.Position) time.Time {
	for i := len(t.samples) - 1; i >= 0; i-- {
		if s := t.samples[i]; s.valid && position.AtLeast(s.position) {
			return s.at
		}
	}
	return time.Time{}
}
