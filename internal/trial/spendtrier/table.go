package spendtrier

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// Row is one line of the table: a strategy under a schedule at a deployment.
type Row struct {
	Schedule   Schedule
	Strategy   Strategy
	Deployment Deployment
	Result     Result
}

// RunAll runs every combination with each of the seeds and returns the sums
// over the seeds.
func RunAll(strategies []Strategy, schedules []Schedule, deployments []Deployment, seeds []uint64) []Row {
	const workers = 6
	var rows []Row
	for _, s := range schedules {
		for _, strategy := range strategies {
			for _, d := range deployments {
				rows = append(rows, Row{Schedule: s, Strategy: strategy, Deployment: d})
			}
		}
	}
	var wg sync.WaitGroup
	next := make(chan int)
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				rows[i].addSeeds(seeds)
			}
		}()
	}
	for i := range rows {
		next <- i
	}
	close(next)
	wg.Wait()
	return rows
}

// addSeeds adds the results of all seeds; MaxStranded is their maximum.
func (r *Row) addSeeds(seeds []uint64) {
	for _, seed := range seeds {
		result := Run(r.Strategy, r.Schedule, r.Deployment, seed)
		r.Result.Requests += result.Requests
		r.Result.FalseRefusals += result.FalseRefusals
		r.Result.UnavoidableRefusals += result.UnavoidableRefusals
		r.Result.Overspend += result.Overspend
		r.Result.Commits += result.Commits
		r.Result.MaxStranded = max(r.Result.MaxStranded, result.MaxStranded)
	}
}

// Print writes rows as a table.
func Print(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SCHEDULE\tWAY\tDEPLOYMENT\tREQUESTS\tFALSE REFUSALS\tRATE\tOVERSPEND\tCOMMITS\tMOST STRANDED")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f%%\t%d\t%d\t%d\n", r.Schedule.Name, r.Strategy.Name, r.Deployment.Name,
			r.Result.Requests, r.Result.FalseRefusals, 100*r.Result.FalseRefusalRate(), r.Result.Overspend, r.Result.Commits, r.Result.MaxStranded)
	}
	_ = w.Flush()
}

// KeptFractionStrategies returns strategies that keep from 0% to 40% of a
// budget at the platform.
func KeptFractionStrategies() []Strategy {
	var strategies []Strategy
	for _, kept := range []float64{0, 0.02, 0.05, 0.1, 0.2, 0.4} {
		strategies = append(strategies, Proportional(kept, 1))
	}
	return strategies
}

// PartitionSchedules returns the schedules with a partitioned domain.
func PartitionSchedules() []Schedule {
	return []Schedule{DomainPartition2h, DomainPartition1h}
}
