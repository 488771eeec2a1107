package roseload_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain discards the logs of the proxies and the load generator, unless
// ROSEMARY_TEST_LOG is set.
func TestMain(m *testing.M) {
	if os.Getenv("ROSEMARY_TEST_LOG") == "" {
		flags := flag.NewFlagSet("klog", flag.ContinueOnError)
		klog.InitFlags(flags)
		_ = flags.Set("logtostderr", "false")
		klog.SetOutput(io.Discard)
	}
	os.Exit(m.Run())
}
