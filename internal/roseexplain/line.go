// Package roseexplain puts the log lines of one request, written by several
// processes, into one story.
package roseexplain

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Line is one log line.
type Line struct {
	// At is the time of day by the clock of the process that wrote it.
	Time time.Time
	// Event is what happened, Fields what it was decided by.
	Event  string
	Fields map[string]string
	// Text is the line without its header.
	Text string
}

// Log is what one process wrote.
type Log struct {
	Process string
	Lines   []Line
}

// maxLineBytes bounds one line; longer ones are no log lines.
const maxLineBytes = 1 << 20

// Read reads a log. Lines that can't be read are left out. The process is
// named by the line with which it started, or else by name.
func Read(name string, input io.Reader) (Log, error) {
	log := Log{Process: name}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		if proxy := line.Fields["proxy"]; line.Event == startEvent && proxy != "" {
			log.Process = proxy
		}
		log.Lines = append(log.Lines, line)
	}
	return log, trace.Wrap(scanner.Err())
}

// startEvent is logged once by each process.
const startEvent = "proxy started"

// header is the form of a line's time.
const header = "0102 15:04:05.000000"

// Parse reads one line: a severity, a time, a thread, a place in the code, a
// quoted event and its fields. What stands before the severity is passed over.
func Parse(text string) (Line, bool) {
	end := strings.Index(text, "] \"")
	if end < 0 {
		return Line{}, false
	}
	words := strings.Fields(text[:end])
	if len(words) < 4 {
		return Line{}, false
	}
	words = words[len(words)-4:]
	if len(words[0]) < 2 {
		return Line{}, false
	}
	at, err := time.Parse(header, words[0][1:]+" "+words[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Text: text[end+2:], Fields: make(map[string]string)}
	event, rest, ok := quoted(line.Text)
	if !ok {
		return Line{}, false
	}
	line.Event = event
	for rest != "" {
		name, value, found := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !found {
			break
		}
		if text, after, ok := quoted(value); ok {
			line.Fields[name], rest = text, after
			continue
		}
		line.Fields[name], rest, _ = strings.Cut(value, " ")
	}
	return line, true
}

// quoted reads a quoted string off the start of text.
func quoted(text string) (value, rest string, ok bool) {
	prefix, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(prefix)
	return value, text[len(prefix):], err == nil
}
