package rosesoak_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosesoak"
)

// buildDaemon builds rosemaryd with the given build tags.
func buildDaemon(t *testing.T, tags string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "rosemaryd")
	output, err := exec.Command("go", "build", "-tags", tags, "-o", program, "../../cmd/rosemaryd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return program
}

// idleCloseTolerance exceeds the delay that a busy machine may add before a client
// notices that its connection is closed.
const idleCloseTolerance = time.Second

// runSoak runs a seed. The logs of a run with violations are kept.
func runSoak(t *testing.T, program string, seed uint64, duration time.Duration) rosesoak.Report {
	t.Helper()
	directory, err := rosesoak.NewDirectory(seed)
	qt.Assert(t, err, qt.IsNil)
	report, err := rosesoak.Run(context.Background(), rosesoak.Config{
		Program: program, Directory: directory, Seed: seed, Duration: duration, ProxiesPerZone: 1, Clients: 6, IdleCloseTolerance: idleCloseTolerance,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Logf("seed %d: %d faults, %v", seed, report.Faults, report.Outcomes)
	if len(report.Violations) > 0 {
		t.Logf("logs are kept in %s", directory)
	} else {
		qt.Check(t, os.RemoveAll(directory), qt.IsNil)
	}
	return report
}

// TestShortSoak runs one seed and expects no violation.
func TestShortSoak(t *testing.T) {
	report := runSoak(t, buildDaemon(t, ""), 1, 8*time.Second)
	qt.Check(t, report.Violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(report.Violations, "\n")))
	qt.Check(t, report.Outcomes["acked"] > 0, qt.IsTrue)
	qt.Check(t, report.Faults > 0, qt.IsTrue)
}

// TestBrokenBuildIsCaught guards against checks that detect nothing: the build
// with the rosebroken tag repeats writes whose answer was lost, so that they may
// be committed twice.
func TestBrokenBuildIsCaught(t *testing.T) {
	const seeds = 10
	program := buildDaemon(t, "rosebroken")
	for seed := range uint64(seeds) {
		if len(runSoak(t, program, seed+1, 8*time.Second).Violations) > 0 {
			return
		}
	}
	t.Fatalf("no violation in %d seeds", seeds)
}
