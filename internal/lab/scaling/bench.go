package scaling

import (
	"context"
	"errors"
	"flag"
	"testing"
)

// benchmark returns the mean duration of a call of do, in seconds. The argument
// of do counts the calls from 0 in each round of the benchmark. An error of do
// does not stop the benchmark; the last one is returned after it.
func (e *Env) benchmark(ctx context.Context, do func(i int) error) (float64, error) {
	testing.Init() // registers the flag test.benchtime, the duration of a benchmark
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
		return 0, errors.New("testing.Benchmark ran no iterations")
	}
	if failed != nil {
		return 0, failed
	}
	return r.T.Seconds() / float64(r.N), ctx.Err()
}
