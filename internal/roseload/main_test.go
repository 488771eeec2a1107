package roseload_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain keeps the logs of many simulated proxies out of the tests' output.
func TestMain(m *testing.M) {
	if os.Getenv("ROSEMARY_TEST_LOG") == "" {
		flags := flag.NewFlagSet("klog", flag.ContinueOnError)
		klog.InitFlags(flags)
		_ = flags.Set("logtostderr", "false")
		klog.SetOutput(io.Discard)
	}
	os.Exit(m.Run())
}
