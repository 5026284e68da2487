package choosetrier

import (
	"fmt"
	"io"
	"time"

	"github.com/egretroute/egretroute/internal/request/chooser"
)

// Print writes the table of all ways of choosing at three lags of reports.
func Print(w io.Writer) {
	ways := []struct {
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
		for _, way := range ways {
			r := Run(way.chooser, lag, 1)
			_, _ = fmt.Fprintf(w, "lag %-6s %-17s first token p50 %-10s p95 %-14s hits %.3f\n",
				lag, way.name, r.FirstTokenP50.Round(time.Millisecond), r.FirstTokenP95.Round(time.Millisecond), r.HitRate)
		}
	}
}
