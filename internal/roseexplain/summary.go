package roseexplain

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

const (
	// maxRows bounds the rows of one table; further keys count as otherKey.
	maxRows  = 100_000
	otherKey = "(others)"
	// maxPassedOn bounds the requests known to have been passed on, without a result yet.
	maxPassedOn = 10_000
	// passedOnEvent is logged when a home has refused a request, which goes to another one.
	passedOnEvent = "request passed on elsewhere"
	// maxExamples bounds the request IDs kept for each cause.
	maxExamples = 3
)

// Summary counts the refused and late requests of any number of logs by cause, second,
// zone, class and team. Its size doesn't grow with the number of requests.
type Summary struct {
	total   tally
	causes  map[Cause]*tally
	seconds map[string]*tally
	zones   map[string]*tally
	classes map[string]*tally
	teams   map[string]*tally
	// processZones holds the zones that the proxies told at their starts.
	processZones map[string]string
	// passedOn holds the requests that homes have refused before others were asked.
	passedOn map[string]bool
	// marked is set once a line has told that its request was late, which older logs don't.
	marked bool
}

// tally counts results.
type tally struct {
	served, late, refused int
	causes                map[Cause]int
	examples              []string
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		causes: make(map[Cause]*tally), seconds: make(map[string]*tally), zones: make(map[string]*tally),
		classes: make(map[string]*tally), teams: make(map[string]*tally),
		processZones: make(map[string]string), passedOn: make(map[string]bool),
	}
}

// relevantEvents begin the texts of the lines that a summary needs.
var relevantEvents = [][]byte{[]byte(`] "request served"`), []byte(`] "request refused"`), []byte(`] "` + startEvent + `"`), []byte(`] "` + passedOnEvent + `"`)}

// Add reads a log. Process is the proxy that wrote the lines that don't name one.
func (s *Summary) Add(process string, input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if !slices.ContainsFunc(relevantEvents, func(event []byte) bool { return bytes.Contains(text, event) }) {
			continue
		}
		if line, ok := Parse(string(text)); ok {
			line.Process = cmp.Or(line.Process, process)
			s.add(line)
		}
	}
	return trace.Wrap(scanner.Err())
}

func (s *Summary) add(line Line) {
	id := line.Fields["request"]
	passedOn := s.passedOn[id]
	delete(s.passedOn, id)
	switch {
	case line.Event == passedOnEvent:
		if len(s.passedOn) < maxPassedOn {
			s.passedOn[strings.Clone(id)] = true
		}
	case line.Event == startEvent:
		if _, known := s.processZones[line.Process]; known || len(s.processZones) < maxRows {
			s.processZones[line.Process] = line.Fields["zone"]
		}
	case line.Event == "request refused":
		s.count(line, refusalCause(line.Fields), true)
	case line.Fields["late"] == "true":
		s.marked = true
		s.count(line, lateCause(line.Fields, passedOn), false)
	default:
		s.total.served++
		row(s.seconds, second(line)).served++
		row(s.zones, s.zone(line)).served++
	}
}

// count counts a refused or late request in all tables.
func (s *Summary) count(line Line, cause Cause, refused bool) {
	tallies := []*tally{&s.total, row(s.causes, cause), row(s.seconds, second(line)), row(s.zones, s.zone(line)), row(s.classes, line.Fields["class"])}
	if team := line.Fields["team"]; team != "" {
		tallies = append(tallies, row(s.teams, team))
	}
	for _, t := range tallies {
		if refused {
			t.refused++
		} else {
			t.late++
		}
		if t.causes == nil {
			t.causes = make(map[Cause]int)
		}
		t.causes[cause]++
		if id := line.Fields["request"]; id != "" && len(t.examples) < maxExamples {
			t.examples = append(t.examples, strings.Clone(id))
		}
	}
}

func (s *Summary) zone(line Line) string {
	return cmp.Or(line.Fields["zone"], s.processZones[line.Process])
}

func second(line Line) string { return line.Time.Format("15:04:05") }

// row returns the row of a key, or that of otherKey if the table is full.
func row[K ~string](table map[K]*tally, key K) *tally {
	t := table[key]
	if t == nil {
		if len(table) >= maxRows {
			key = otherKey
		}
		if t = table[key]; t == nil {
			t = &tally{}
			table[key] = t
		}
	}
	return t
}

// WriteText writes the tables.
func (s *Summary) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d in time, %d late, %d refused\n", s.total.served, s.total.late, s.total.refused)
	if !s.marked && s.total.served > 0 {
		fmt.Fprintln(out, "no line tells that its request was late, as logs of older versions don't")
	}
	fmt.Fprintln(out, "\nCAUSE\tREFUSED\tLATE\tFIRST")
	for _, cause := range slices.SortedFunc(maps.Keys(s.causes), func(a, b Cause) int {
		return cmp.Or(s.causes[b].lost()-s.causes[a].lost(), cmp.Compare(a, b))
	}) {
		t := s.causes[cause]
		fmt.Fprintf(out, "%s\t%d\t%d\t%s\n", cause, t.refused, t.late, strings.Join(t.examples, " "))
	}
	writeTable(out, "SECOND", s.seconds, true)
	writeTable(out, "ZONE", s.zones, true)
	writeTable(out, "CLASS", s.classes, false)
	writeTable(out, "TEAM", s.teams, false)
	return trace.Wrap(out.Flush())
}

// writeTable writes a table with its rows in the order of their keys. Lines of requests in
// time hold no class and no team, so that those tables don't count them.
func writeTable(out io.Writer, title string, table map[string]*tally, withServed bool) {
	if len(table) == 0 {
		return
	}
	header := "\n" + title
	if withServed {
		header += "\tIN TIME"
	}
	fmt.Fprintln(out, header+"\tREFUSED\tLATE\tMOST FOR\tFIRST")
	for _, key := range slices.Sorted(maps.Keys(table)) {
		t := table[key]
		fmt.Fprint(out, cmp.Or(key, "(unknown)"))
		if withServed {
			fmt.Fprintf(out, "\t%d", t.served)
		}
		fmt.Fprintf(out, "\t%d\t%d\t%s\t%s\n", t.refused, t.late, t.mostFor(), strings.Join(t.examples, " "))
	}
}

func (t *tally) lost() int { return t.refused + t.late }

// mostFor returns the most frequent causes with their counts.
func (t *tally) mostFor() string {
	const shown = 3
	causes := slices.SortedFunc(maps.Keys(t.causes), func(a, b Cause) int {
		return cmp.Or(t.causes[b]-t.causes[a], cmp.Compare(a, b))
	})
	var parts []string
	for _, cause := range causes[:min(len(causes), shown)] {
		parts = append(parts, fmt.Sprintf("%s %d", cause, t.causes[cause]))
	}
	return strings.Join(parts, ", ")
}
