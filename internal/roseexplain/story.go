package roseexplain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Event is one line of a story.
type Event struct {
	Process string
	Line
	// When is the time by the clock of the process that answered the caller.
	AdjustedTime time.Time
	// About is set for a line on the request itself; the others are what was
	// believed at the time.
	NamesRequest bool
}

// Timeline is what several logs tell of one request.
type Timeline struct {
	Request string
	Events  []Event
	// Shifts is how much was added to each process's clock.
	ClockOffsets map[string]time.Duration
}

// defaultSpan is how long a request is taken to have lasted whose answer
// doesn't tell.
const defaultSpan = 2 * time.Second

// BuildTimeline gathers what the logs tell of a request, and the changes of belief about
// its group, its targets and its proxies in the time before. The error is
// trace.NotFound if no log names it.
func BuildTimeline(logs []Log, request string, before time.Duration) (Timeline, error) {
	answer, teller, found := findAnswer(logs, request)
	if !found {
		return Timeline{}, trace.NotFound("no log names request %q; give the logs of the proxy that its caller was connected to", request)
	}
	began := answer.Time.Add(-span(answer))
	story := Timeline{Request: request, ClockOffsets: make(map[string]time.Duration)}
	subjects := subjectsOf(logs, request)
	for _, log := range logs {
		shift := time.Duration(0)
		if log.Process != teller {
			shift = shiftInto(log, request, began, answer.Time)
		}
		if shift != 0 {
			story.ClockOffsets[log.Process] = shift
		}
		for _, line := range log.Lines {
			when := line.Time.Add(shift)
			about := line.Fields["request"] == request
			inTime := !when.Before(began.Add(-before)) && !when.After(answer.Time)
			if about || inTime && line.concerns(subjects) {
				story.Events = append(story.Events, Event{Process: log.Process, Line: line, AdjustedTime: when, NamesRequest: about})
			}
		}
	}
	slices.SortStableFunc(story.Events, func(a, b Event) int {
		return cmp.Or(a.AdjustedTime.Compare(b.AdjustedTime), order(a)-order(b))
	})
	return story, nil
}

// order puts what was believed before what it decided, and the answer last.
func order(e Event) int {
	switch {
	case e.answers():
		return 2
	case e.NamesRequest:
		return 1
	}
	return 0
}

// answers reports whether a line tells what the caller got.
func (l Line) answers() bool { return l.Event == "request served" || l.Event == "request refused" }

// findAnswer returns the line that tells what the caller got, and the process
// that wrote it.
func findAnswer(logs []Log, request string) (Line, string, bool) {
	var last Line
	process := ""
	for _, log := range logs {
		for _, line := range log.Lines {
			if line.Fields["request"] != request {
				continue
			}
			if line.answers() {
				return line, log.Process, true
			}
			last, process = line, log.Process
		}
	}
	return last, process, process != ""
}

func span(answer Line) time.Duration {
	if us, err := strconv.ParseInt(answer.Fields["us"], 10, 64); err == nil {
		return time.Duration(us) * time.Microsecond
	}
	return defaultSpan
}

// shiftInto returns the least shift of a process's clock that puts its lines on
// the request between the request's begin and its answer.
func shiftInto(log Log, request string, began, ended time.Time) time.Duration {
	for _, line := range log.Lines {
		if line.Fields["request"] != request {
			continue
		}
		switch {
		case line.Time.Before(began):
			return began.Sub(line.Time)
		case line.Time.After(ended):
			return ended.Sub(line.Time)
		}
	}
	return 0
}

// subjects are the names that a request's own lines mention.
type subjects map[string]bool

// subjectFields name what a belief may be about.
var subjectFields = []string{"group", "target", "home"}

func subjectsOf(logs []Log, request string) subjects {
	names := make(subjects)
	for _, log := range logs {
		for _, line := range log.Lines {
			if line.Fields["request"] != request {
				continue
			}
			for _, field := range subjectFields {
				if name := line.Fields[field]; name != "" {
					names[name] = true
				}
			}
		}
	}
	return names
}

// processEvents concern every request of the process.
var processEvents = []string{
	startEvent, "proxy stopping", "proxy stopped", "cut off changed", "isolation changed", "store lost", "store regained",
	"configuration in force", "configuration pulled", "settings read anew", "log lines left out",
}

// concerns reports whether a line changes what the process believes about the
// subjects, or about itself.
func (l Line) concerns(names subjects) bool {
	if _, other := l.Fields["request"]; other {
		return false
	}
	if slices.Contains(processEvents, l.Event) {
		return true
	}
	for _, field := range subjectFields {
		if names[l.Fields[field]] {
			return true
		}
	}
	return false
}

// WriteText writes the story for a reader: lines on the request are marked.
func (s Timeline) WriteText(w io.Writer) error {
	for _, e := range s.Events {
		mark := " "
		if e.NamesRequest {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s\n", mark, e.AdjustedTime.Format("15:04:05.000"), e.Process, e.Text); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, process := range slices.Sorted(maps.Keys(s.ClockOffsets)) {
		if _, err := fmt.Fprintf(w, "clock of %s shifted by %v\n", process, s.ClockOffsets[process]); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
