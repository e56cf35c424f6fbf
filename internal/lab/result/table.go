package result

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Table writes the result as a plain-text table.
func (r *Run) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	r.writeSummary(t)
	r.writeLatencies(t)
	r.writePeaks(t)
	for _, e := range r.Events {
		fmt.Fprintf(t, "event\t%s\n", e)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(t, "BROKEN\t%s\n", v)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

func (r *Run) writeSummary(w io.Writer) {
	q := r.Requests
	traffic := r.ListTraffic
	perRequest := func(n int) float64 { return ratio(float64(n), float64(q.Offered)) }
	perAttempt := func(n int) float64 { return ratio(float64(n), float64(q.Attempts)) }
	fmt.Fprintf(w, "%s\t%s, version %s, seed %d\n", r.Scenario, r.Kind, r.Version, r.Seed)
	fmt.Fprintf(w, "fleet\t%d nodes, %d servers, %.1f s\n", r.Nodes, r.Servers, r.Seconds)
	fmt.Fprintf(w, "requests\t%d: %.4f served, %.4f in aim, %.4f refused, %.4f failed, %d lost\n", q.Offered,
		perRequest(q.Served), perRequest(q.WithinObjective), perRequest(q.Rejected), perRequest(q.Failed), q.Lost)
	fmt.Fprintf(w, "worth\t%.4f served; %.4f of the servers' work wasted\n", ratio(q.ServedWeight, q.Weight), q.Wasted)
	fmt.Fprintf(w, "attempts\t%.4f a request, %.4f further; %.4f cross zones, %.4f regions\n",
		perRequest(q.Attempts), perRequest(q.Retries), perAttempt(q.CrossZone), perAttempt(q.CrossRegion))
	if q.WithinQuota > 0 {
		fmt.Fprintf(w, "tenants\t%.4f of requests inside shares, of these %.4f served\n",
			perRequest(q.WithinQuota), ratio(float64(q.WithinQuotaServed), float64(q.WithinQuota)))
	}
	fmt.Fprintf(w, "lists\t%d calls, %.0f bytes/s a node, worst %.0f, worst second %d bytes in all; %d whole, %d changes\n",
		traffic.Calls, traffic.NodeRate, traffic.WorstRate, traffic.WorstSecond, traffic.Snapshots, traffic.Changes)
	fmt.Fprintf(w, "recovery\t%.0f s; %d cold servers fell over\n", r.Recovery, r.Crashes)
	fmt.Fprintf(w, "cost\t%.1f s, a node %.4f of a core and %.1f MB, %.1f µs an event\n",
		r.Cost.Seconds, r.Cost.NodeCPU, float64(r.Cost.NodeMemory)/1e6, r.Cost.EventTime*1e6)
}

func (r *Run) writeLatencies(w io.Writer) {
	fmt.Fprintf(w, "\nms\tcount\tmean\t50 %%\t90 %%\t99 %%\t99.9 %%\tmost\n")
	for _, name := range slices.Sorted(maps.Keys(r.Latency)) {
		writeLatency(w, name, r.Latency[name])
	}
	writeLatency(w, "added by nodes", r.AddedLatency)
	writeLatency(w, "told of changes", r.ListTraffic.PropagationDelay)
}

func writeLatency(w io.Writer, name string, l Latency) {
	fmt.Fprintf(w, "%s\t%d", name, l.Count)
	for _, seconds := range []float64{l.Mean, l.P50, l.P90, l.P99, l.P999, l.Max} {
		fmt.Fprintf(w, "\t%.2f", seconds*1e3)
	}
	fmt.Fprintln(w)
}

func (r *Run) writePeaks(w io.Writer) {
	if len(r.Peaks) == 0 {
		return
	}
	fmt.Fprintf(w, "\nworst second\tvalue\tbound\tat s\n")
	for _, name := range slices.Sorted(maps.Keys(r.Peaks)) {
		p := r.Peaks[name]
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.0f\n", name, p.Worst, p.Bound, p.At)
	}
}
