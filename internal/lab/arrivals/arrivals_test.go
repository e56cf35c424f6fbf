package arrivals

import (
	"math"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"bankshift/internal/lab/scenario"
)

const scenarioText = `seed = 7
length = "20s"
[fleet]
nodes = 5
[traffic]
rate = 2000
uneven = 0.5
keys = 100
key_skew = 1.3
tenants = 4
[[class]]
name = "even"
effect = "safe"
part = 3
work = "10ms"
aim = "1s"
deadline = "1s"
[[class]]
name = "exponential"
effect = "safe"
work = "4ms"
work_var = 1
aim = "1s"
deadline = "1s"
[[class]]
name = "gamma"
effect = "safe"
work = "6ms"
work_var = 0.5
aim = "1s"
deadline = "1s"
[[event]]
at = "8s"
for = "4s"
do = "burst"
by = 3
`

func load(t testing.TB) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(scenarioText))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkFit fails the test unless the counts in got fit the expected counts in want,
// by a chi-squared test at a significance level of 1 in 10,000.
func checkFit(t *testing.T, what string, got, want []float64) {
	t.Helper()
	if chi, most := stat.ChiSquare(got, want), (distuv.ChiSquared{K: float64(len(got) - 1)}).Quantile(0.9999); chi > most {
		t.Errorf("%s: %.0f, want about %.0f (chi-squared %.1f, at most %.1f)", what, got, want, chi, most)
	}
}

// scaled returns parts scaled to a sum of total.
func scaled(parts []float64, total float64) []float64 {
	sum, out := 0.0, make([]float64, len(parts))
	for _, p := range parts {
		sum += p
	}
	for i, p := range parts {
		out[i] = p / sum * total
	}
	return out
}

// TestDistributions guards against requests that are not drawn from the
// scenario's distributions, and against a stream that differs when it is drawn
// again.
func TestDistributions(t *testing.T) {
	s := load(t)
	all := slices.Collect(All(s))
	total := float64(len(all))
	seconds, nodes, classes := make([]float64, 20), make([]float64, 5), make([]float64, 3)
	keys, tenants, work := make([]float64, 100), make([]float64, 4), make([][]float64, 3)
	var gaps []float64
	for i, a := range all {
		if a.Number != i || i > 0 && a.At < all[i-1].At {
			t.Fatalf("arrival %d is %+v, want that number and no earlier time than before", i, a)
		}
		if i > 0 && a.At < 8*time.Second {
			gaps = append(gaps, (a.At - all[i-1].At).Seconds())
		}
		seconds[int(a.At/time.Second)]++
		nodes[a.Node]++
		classes[a.Class]++
		keys[a.Key]++
		tenants[a.Tenant]++
		work[a.Class] = append(work[a.Class], a.Work.Seconds())
	}
	rates, zipf := make([]float64, 20), make([]float64, 100)
	for i := range rates {
		rates[i] = 2000
		if i >= 8 && i < 12 { // the burst
			rates[i] = 6000
		}
	}
	for i := range zipf {
		zipf[i] = math.Pow(float64(i+1), -1.3)
	}
	checkFit(t, "seconds", seconds, rates)
	checkFit(t, "nodes", nodes, scaled(NodeWeights(s), total))
	checkFit(t, "classes", classes, scaled([]float64{3, 1, 1}, total))
	checkFit(t, "keys", keys, scaled(zipf, total))
	checkFit(t, "tenants", tenants, scaled([]float64{1, 1, 1, 1}, total))
	for i, c := range s.Classes {
		mean, sd := stat.MeanStdDev(work[i], nil)
		want := c.Work.Seconds()
		if bound := 4*c.WorkVariation*want/math.Sqrt(float64(len(work[i]))) + 1e-9; math.Abs(mean-want) > bound {
			t.Errorf("%s: mean work %g, want %g", c.Name, mean, want)
		}
		if math.Abs(sd/want-c.WorkVariation) > 0.05 {
			t.Errorf("%s: coefficient of variation %.3f, want %.3f", c.Name, sd/want, c.WorkVariation)
		}
	}
	if mean, sd := stat.MeanStdDev(gaps, nil); math.Abs(sd/mean-1) > 0.05 {
		t.Errorf("gaps have a coefficient of variation of %.3f, want 1 as in a Poisson process", sd/mean)
	}
	if !slices.Equal(all, slices.Collect(All(s))) {
		t.Error("a second iteration of the stream yields other requests")
	}
}

// BenchmarkAll measures the generation of 100,000 requests at 81,000 requests per
// second, for 450 nodes and 20,000 tenants.
func BenchmarkAll(b *testing.B) {
	s := load(b)
	s.Traffic.Rate, s.Fleet.Nodes, s.Traffic.Tenants = 81000, 450, 20000
	n := 0
	for b.Loop() {
		for range All(s) {
			n++
			if n%100000 == 0 {
				break
			}
		}
	}
}
