package roseexplain_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/roseexplain"
)

var update = flag.Bool("update", false, "write the golden files anew")

func TestSummary(t *testing.T) {
	const golden = "testdata/day.golden"
	file, err := os.Open("testdata/day.log")
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	summary := roseexplain.NewSummary()
	qt.Assert(t, summary.Add("day.log", file), qt.IsNil)
	var out strings.Builder
	qt.Assert(t, summary.WriteText(&out), qt.IsNil)
	if *update {
		qt.Assert(t, os.WriteFile(golden, []byte(out.String()), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, string(want))
}

// A day's log is far larger than the memory that its summary may take.
func TestSummaryMemoryIsBounded(t *testing.T) {
	const requests, maxBytes = 50_000, 4 << 20
	summary := roseexplain.NewSummary()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range requests {
		line := fmt.Sprintf("I1002 10:%02d:%02d.000000 7 a.go:1] \"request refused\" request=\"request-%d\" class=\"own\" zone=\"a\" kind=\"no-primary\"\n", i/60%60, i%60, i)
		qt.Assert(t, summary.Add("edge-1", strings.NewReader(line)), qt.IsNil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	qt.Check(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxBytes, qt.IsTrue)
	runtime.KeepAlive(summary)
}
