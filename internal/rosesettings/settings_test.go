package rosesettings_test

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosesettings"
	"github.com/rosemarywell/rosemarywell/pkg/rosebundle"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares got with a golden file, or rewrites the file if -update is
// set.
func checkGolden(c *qt.C, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.Equals, string(want))
}

func TestEveryFaultIsListed(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(filepath.Join("testdata", "faulty.toml"))
	c.Assert(err, qt.IsNil)
	_, err = rosesettings.Parse(string(text))
	c.Assert(err, qt.IsNotNil)
	lines := strings.Split(err.Error(), "\n")
	slices.Sort(lines)
	checkGolden(c, "faulty.golden", strings.Join(lines, "\n")+"\n")
}

func TestSampleFilesAreValid(t *testing.T) {
	c := qt.New(t)
	_, err := rosesettings.Load("../../doc/rosemaryd.sample.toml")
	c.Check(err, qt.IsNil)
	text, err := os.ReadFile("../../doc/bundle.sample.toml")
	c.Assert(err, qt.IsNil)
	_, err = rosebundle.ParseContent(string(text))
	c.Check(err, qt.IsNil)
}
