package rosesettings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/internal/rosesettings"
)

// TestPlatformLimits reads settings as the platform's template renders them.
func TestPlatformLimits(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(filepath.Join("testdata", "platform.toml"))
	c.Assert(err, qt.IsNil)
	settings, err := rosesettings.ParsePlatform(string(text))
	c.Assert(err, qt.IsNil)
	c.Check(time.Duration(settings.Limits.GraceTime), qt.Equals, 6*time.Second)
	c.Check(time.Duration(settings.Limits.LeavingTime), qt.Equals, 10*time.Second)
	c.Check(time.Duration(settings.Limits.ConfigurationTime), qt.Equals, 3*time.Second)
	c.Check(time.Duration(settings.Limits.CapWindow), qt.Equals, 5*time.Second)
	c.Check([]float64{settings.Limits.CapExcess, settings.Limits.CapSlack}, qt.DeepEquals, []float64{0.1, 20})

	without := strings.NewReplacer(`LeavingTime = "10000ms"`, "", `ConfigurationTime = "3000ms"`, "").Replace(string(text))
	settings, err = rosesettings.ParsePlatform(without)
	c.Assert(err, qt.IsNil)
	c.Check(time.Duration(settings.Limits.LeavingTime), qt.Equals, 7*time.Second)
	c.Check(time.Duration(settings.Limits.ConfigurationTime), qt.Equals, 5*time.Second)
}

func TestEveryPlatformFaultIsListed(t *testing.T) {
	c := qt.New(t)
	_, err := rosesettings.ParsePlatform(`Limits = { CoreShare = -1, MemoryMb = -1, GraceTime = "0s", LeavingTime = "-1s", ConfigurationTime = "0s", CapWindow = "0s", CapExcess = -1, CapSlack = -1 }`)
	c.Assert(err, qt.IsNotNil)
	lines := strings.Split(err.Error(), "\n")
	slices.Sort(lines)
	checkGolden(c, "platform-faulty.golden", strings.Join(lines, "\n")+"\n")
}
