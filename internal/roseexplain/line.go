// Package roseexplain merges the log lines that several processes wrote about
// one request into a timeline.
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
	// Process is the word before the header, which a collector of several logs may add;
	// empty if there is none.
	Process string
	// Time has no year and comes from the clock of the process that wrote the
	// line.
	Time time.Time
	// Event is the message, Fields its key-value pairs.
	Event  string
	Fields map[string]string
	// Text is the line without its header.
	Text string
}

// Log holds the log lines of one process.
type Log struct {
	Process string
	Lines   []Line
}

// maxLineBytes bounds one line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Read reads a log and skips lines that Parse rejects. Process is the proxy in
// the start event, or name if there is none.
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

// startEvent is logged once per start of a process.
const startEvent = "proxy started"

// headerTimeLayout is the layout of klog's timestamps.
const headerTimeLayout = "0102 15:04:05.000000"

// Parse reads one line in klog's structured format: severity, time, thread,
// source location, quoted event and fields. Text before the severity, such as a
// prefix with the process, is ignored.
func Parse(text string) (Line, bool) {
	headerEnd := strings.Index(text, "] \"")
	if headerEnd < 0 {
		return Line{}, false
	}
	words := strings.Fields(text[:headerEnd])
	if len(words) < 4 {
		return Line{}, false
	}
	process := ""
	if len(words) > 4 {
		process = words[len(words)-5]
	}
	words = words[len(words)-4:]
	if len(words[0]) < 2 {
		return Line{}, false
	}
	at, err := time.Parse(headerTimeLayout, words[0][1:]+" "+words[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{Process: process, Time: at, Text: text[headerEnd+2:], Fields: make(map[string]string)}
	event, rest, ok := cutQuoted(line.Text)
	if !ok {
		return Line{}, false
	}
	line.Event = event
	for rest != "" {
		name, value, found := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !found {
			break
		}
		if unquoted, remaining, ok := cutQuoted(value); ok {
			line.Fields[name], rest = unquoted, remaining
			continue
		}
		line.Fields[name], rest, _ = strings.Cut(value, " ")
	}
	return line, true
}

// cutQuoted splits a quoted string off the start of text.
func cutQuoted(text string) (value, rest string, ok bool) {
	prefix, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", false
	}
	value, err = strconv.Unquote(prefix)
	return value, text[len(prefix):], err == nil
}
