package rosecommand

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarywell/rosemarywell/pkg/rosedecision"
	"github.com/rosemarywell/rosemarywell/pkg/rosefleet"
)

func TestTargetsTable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]rosefleet.TargetUse{
			{Group: "g", Target: "t-1", Role: "primary", Zone: "a", Applied: "1/9", Received: "1/9"},
			{
				Group: "g", Target: "t-2", Role: "replica", Zone: "b", Unused: rosedecision.UnusedBehind, Lag: 6 * time.Second,
				LagAge: 8 * time.Millisecond, ReportedLag: 50 * time.Second, Applied: "1/2", Received: "1/9",
			},
		})
	}))
	defer server.Close()
	var out, errOut strings.Builder
	address := strings.TrimPrefix(server.URL, "http://")
	code := Run(t.Context(), IOStreams{Out: &out, Err: &errOut}, []string{"targets", "-admin", address + ",127.0.0.1:1"})
	qt.Assert(t, code, qt.Equals, exitOK, qt.Commentf("%s", errOut.String()))
	var rows []string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Join(strings.Fields(line)[1:], " "))
	}
	qt.Check(t, rows, qt.DeepEquals, []string{
		"GROUP TARGET ROLE ZONE USED LAG AGE TELLS APPLIED RECEIVED",
		"g t-1 primary a yes 0s 0s 0s 1/9 1/9",
		"g t-2 replica b no, behind 6s 8ms 50s 1/2 1/9",
		"no response from the proxy at 127.0.0.1:1",
	})
}
