package rosesoak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosesoak"
)

// build builds rosemaryd.
func build(t *testing.T, tags string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rosemaryd")
	output, err := exec.Command("go", "build", "-tags", tags, "-o", program, "../../cmd/rosemaryd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return program
}

// borderTime is longer than a busy machine stalls a caller.
const borderTime = time.Second

func soak(t *testing.T, program string, seed uint64, span time.Duration) rosesoak.Report {
	t.Helper()
	report, err := rosesoak.Run(context.Background(), rosesoak.Config{
		Program: program, Directory: t.TempDir(), Seed: seed, Duration: span, ProxiesPerZone: 1, Callers: 6, IdleCloseTolerance: borderTime,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Logf("seed %d: %d faults, %v", seed, report.Faults, report.Outcomes)
	return report
}

// TestShortSoak plays one seed with real processes.
func TestShortSoak(t *testing.T) {
	report := soak(t, build(t, ""), 1, 8*time.Second)
	qt.Check(t, report.Violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(report.Violations, "\n")))
	qt.Check(t, report.Outcomes["acked"] > 0, qt.IsTrue)
	qt.Check(t, report.Faults > 0, qt.IsTrue)
}

// TestBrokenBuildIsCaught has a build that repeats writes whose answer was lost.
func TestBrokenBuildIsCaught(t *testing.T) {
	const seeds = 10
	program := build(t, "rosebroken")
	for seed := range uint64(seeds) {
		if len(soak(t, program, seed+1, 8*time.Second).Violations) > 0 {
			return
		}
	}
	t.Fatalf("no violation in %d seeds", seeds)
}
