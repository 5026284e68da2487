package choosetrier

import (
	"fmt"
	"io"
	"time"

	"github.com/egretroute/egretroute/internal/request/chooser"
)

// Print writes the results of every chooser at three lags of load reports.
func Print(w io.Writer) {
	choosers := []struct {
		name    string
		chooser chooser.Chooser
	}{
		{"random", chooser.NewRandom()},
		{"round robin", chooser.NewRoundRobin()},
		{"least reported", chooser.NewLeastReported()},
		{"affine (routers)", chooser.NewPrefixAffinity()},
		{"omniscient", nil},
	}
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		for _, entry := range choosers {
			r := Run(entry.chooser, lag, 1)
			_, _ = fmt.Fprintf(w, "lag %-6s %-17s first token p50 %-10s p95 %-14s hits %.3f\n",
				lag, entry.name, r.FirstTokenP50.Round(time.Millisecond), r.FirstTokenP95.Round(time.Millisecond), r.HitRate)
		}
	}
}
