package roseexplain_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"github.com/rosemarywell/rosemarywell/internal/roseexplain"
)

const frontLog = `I1002 10:24:10.000000   100 vm.go:120] "proxy started" proxy="edge-1" zone="a"
some other program's words
I1002 10:24:16.100000   100 group.go:225] "primary changed" group="records" from="t-1" to="" cause="status of t-3"
I1002 10:24:16.150000   100 node.go:260] "request served" request="other" group="records" target="t-2" us=900
I1002 10:24:16.200000   100 group.go:225] "primary changed" group="elsewhere" from="x-1" to="x-2"
I1002 10:24:16.300000   100 node.go:275] "request refused" request="5c0e" group="records" kind="unconfirmed" outcome="outcome unknown" target="t-1" us=350000 message="the answer of \"t-1\" was lost"
`

// The home proxy's clock is one minute ahead.
const homeLog = `I1002 10:25:10.000000   200 vm.go:120] "proxy started" proxy="edge-2" zone="a"
I1002 10:25:16.020000   200 replace.go:198] "replacement begins" group="records" need="primary" primary="t-1" term=1
I1002 10:25:16.250000   200 server.go:252] "task of another proxy refused" request="5c0e" group="records" kind="unconfirmed" target="t-1"
`

func renderTimeline(t *testing.T, request string) (string, error) {
	t.Helper()
	var logs []roseexplain.Log
	for name, text := range map[string]string{"front.log": frontLog, "home.log": homeLog} {
		log, err := roseexplain.Read(name, strings.NewReader(text))
		qt.Assert(t, err, qt.IsNil)
		logs = append(logs, log)
	}
	timeline, err := roseexplain.BuildTimeline(logs, request, time.Second)
	var out strings.Builder
	qt.Assert(t, timeline.WriteText(&out), qt.IsNil)
	return out.String(), err
}

func TestTimelineOfOneRequest(t *testing.T) {
	timeline, err := renderTimeline(t, "5c0e")
	qt.Assert(t, err, qt.IsNil)
	lines := strings.Split(strings.TrimSpace(timeline), "\n")
	want := []string{
		`10:24:16.070 edge-2 "replacement begins" group="records"`,
		`10:24:16.100 edge-1 "primary changed" group="records"`,
		`> 10:24:16.300 edge-2 "task of another proxy refused" request="5c0e"`,
		`> 10:24:16.300 edge-1 "request refused" request="5c0e"`,
		`clock of edge-2 shifted by -59.95s`,
	}
	qt.Assert(t, lines, qt.HasLen, len(want), qt.Commentf("%s", timeline))
	for i, w := range want {
		qt.Check(t, strings.Contains(lines[i], w), qt.IsTrue, qt.Commentf("line %d: %s", i, lines[i]))
	}
}

func TestUnknownRequest(t *testing.T) {
	_, err := renderTimeline(t, "nobody")
	qt.Check(t, trace.IsNotFound(err), qt.IsTrue)
}

func TestParse(t *testing.T) {
	for _, text := range []string{"", "]", `] "x"`, `I10 1 2 x] "event"`, `I1002 10:24:10.000000 1 a.go:1] event`, "log lines left out: count=3"} {
		_, ok := roseexplain.Parse(text)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", text))
	}
	line, ok := roseexplain.Parse(`   8.1 edge-1 I1002 10:24:10.000000   7 a.go:1] "event" name="a \"b\" c" count=3 last=`)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, line.Fields, qt.DeepEquals, map[string]string{"name": `a "b" c`, "count": "3", "last": ""})
}
