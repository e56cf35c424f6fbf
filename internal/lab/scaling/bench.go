package scaling

import (
	"context"
	"errors"
	"flag"
	"testing"
)

// benchmark measures the mean time of do, in seconds. Its argument counts the
// calls. An error of do is returned after the benchmark.
func (e *Env) benchmark(ctx context.Context, do func(i int) error) (float64, error) {
	testing.Init() // the duration of a benchmark is a flag of package testing
	benchtime := flag.Lookup("test.benchtime").Value
	before := benchtime.String()
	if err := benchtime.Set(e.bench().String()); err != nil {
		return 0, err
	}
	defer benchtime.Set(before)
	var failed error
	r := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			if err := do(i); err != nil {
				failed = err
			}
		}
	})
	if r.N == 0 {
		return 0, errors.New("a benchmark failed")
	}
	if failed != nil {
		return 0, failed
	}
	return r.T.Seconds() / float64(r.N), ctx.Err()
}
