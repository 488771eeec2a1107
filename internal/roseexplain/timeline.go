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

// Entry is one line of a timeline.
type Entry struct {
	Process string
	Line
	// AdjustedTime is the time by the clock of the process that answered the
	// client.
	AdjustedTime time.Time
	// NamesRequest is set for a line with the request's ID; other lines are state
	// changes in the same period.
	NamesRequest bool
}

// Timeline is the merged log lines that concern one request.
type Timeline struct {
	Request string
	Entries []Entry
	// ClockOffsets holds the duration added to the times of each process. A process
	// whose times are unchanged has no entry.
	ClockOffsets map[string]time.Duration
}

// defaultDuration is the assumed duration of a request whose result line has
// none.
const defaultDuration = 2 * time.Second

// BuildTimeline merges the log lines of a request with those on state changes of
// its group, targets and proxies, from lookBack before the request until its
// result. The error is trace.NotFound if no log names the request.
func BuildTimeline(logs []Log, request string, lookBack time.Duration) (Timeline, error) {
	result, responder, found := findResult(logs, request)
	if !found {
		return Timeline{}, trace.NotFound("no log mentions request %q; include the log of the proxy that its client was connected to", request)
	}
	start := result.Time.Add(-requestDuration(result))
	timeline := Timeline{Request: request, ClockOffsets: make(map[string]time.Duration)}
	subjects := findSubjects(logs, request)
	for _, log := range logs {
		offset := time.Duration(0)
		if log.Process != responder {
			offset = clockOffset(log, request, start, result.Time)
		}
		if offset != 0 {
			timeline.ClockOffsets[log.Process] = offset
		}
		for _, line := range log.Lines {
			adjusted := line.Time.Add(offset)
			namesRequest := line.Fields["request"] == request
			inWindow := !adjusted.Before(start.Add(-lookBack)) && !adjusted.After(result.Time)
			if namesRequest || inWindow && line.concernsAny(subjects) {
				timeline.Entries = append(timeline.Entries, Entry{Process: log.Process, Line: line, AdjustedTime: adjusted, NamesRequest: namesRequest})
			}
		}
	}
	slices.SortStableFunc(timeline.Entries, func(a, b Entry) int {
		return cmp.Or(a.AdjustedTime.Compare(b.AdjustedTime), sortRank(a)-sortRank(b))
	})
	return timeline, nil
}

// sortRank puts state changes before lines of the request at the same time, and
// the request's result last.
func sortRank(e Entry) int {
	switch {
	case e.isResult():
		return 2
	case e.NamesRequest:
		return 1
	}
	return 0
}

// isResult reports whether a line holds the result that the client got.
func (l Line) isResult() bool { return l.Event == "request served" || l.Event == "request refused" }

// findResult returns the line with the request's result and the process that
// wrote it. Without such a line, it returns the last line of the last log that
// names the request.
func findResult(logs []Log, request string) (Line, string, bool) {
	var last Line
	process := ""
	for _, log := range logs {
		for _, line := range log.Lines {
			if line.Fields["request"] != request {
				continue
			}
			if line.isResult() {
				return line, log.Process, true
			}
			last, process = line, log.Process
		}
	}
	return last, process, process != ""
}

func requestDuration(result Line) time.Duration {
	if us, err := strconv.ParseInt(result.Fields["us"], 10, 64); err == nil {
		return time.Duration(us) * time.Microsecond
	}
	return defaultDuration
}

// clockOffset returns the duration to add to a process's times. Its lines on the
// request must lie between start and end; the first line that doesn't is moved to
// the nearer of the two.
func clockOffset(log Log, request string, start, end time.Time) time.Duration {
	for _, line := range log.Lines {
		if line.Fields["request"] != request {
			continue
		}
		switch {
		case line.Time.Before(start):
			return start.Sub(line.Time)
		case line.Time.After(end):
			return end.Sub(line.Time)
		}
	}
	return 0
}

// subjects are the groups, targets and home proxies named in a request's lines.
type subjects map[string]bool

// subjectFields are the log fields that hold a subject.
var subjectFields = []string{"group", "target", "home"}

func findSubjects(logs []Log, request string) subjects {
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

// processEvents affect every request of the process that logs them.
var processEvents = []string{
	startEvent, "proxy stopping", "proxy stopped", "cut off changed", "isolation changed", "store lost", "store regained",
	"configuration in force", "configuration pulled", "settings read anew", "log lines left out",
}

// concernsAny reports whether a line is a state change of one of the subjects or
// of the whole process.
func (l Line) concernsAny(names subjects) bool {
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

// WriteText writes the timeline as text, with the request's own lines marked by
// ">".
func (t Timeline) WriteText(w io.Writer) error {
	for _, e := range t.Entries {
		mark := " "
		if e.NamesRequest {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s\n", mark, e.AdjustedTime.Format("15:04:05.000"), e.Process, e.Text); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, process := range slices.Sorted(maps.Keys(t.ClockOffsets)) {
		if _, err := fmt.Fprintf(w, "clock of %s shifted by %v\n", process, t.ClockOffsets[process]); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
