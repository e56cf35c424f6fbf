package scaling

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is the value Y of a figure measured at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Figure is a quantity measured at several sizes.
type Figure struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Over      string  `json:"over"`      // quantity that X counts, such as servers
	Planned   float64 `json:"planned"`   // planned value of X
	Budget    float64 `json:"budget"`    // upper limit of Y at the planned size; 0: none
	Mechanism string  `json:"mechanism"` // source files and functions that Y depends on
	Note      string  `json:"note,omitempty"`
	Command   string  `json:"command"` // command line that repeats the measurement
	Points    []Point `json:"points"`

	// The least-squares line through Points, and its value at Planned.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // coefficient of determination; 1 if all Y are equal
	AtPlanned float64 `json:"at_planned"`
}

// minPoints is the number of different sizes that are required to fit a line.
const minPoints = 3

// add appends a point.
func (f *Figure) add(x, y float64) { f.Points = append(f.Points, Point{x, y}) }

// fit computes the least-squares line through the points. It fails if a value is
// not finite, or if there are fewer than minPoints different sizes.
func (f *Figure) fit() error {
	sizes := map[float64]bool{}
	var xs, ys []float64
	for _, p := range f.Points {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) {
			return fmt.Errorf("scaling: %s: value at %v is %v, want a finite number", f.Name, p.X, p.Y)
		}
		sizes[p.X] = true
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	if len(sizes) < minPoints {
		return fmt.Errorf("scaling: %s: measured at %d different sizes, want at least %d", f.Name, len(sizes), minPoints)
	}
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = 1
	if slices.Min(ys) < slices.Max(ys) {
		f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	}
	f.AtPlanned = f.Intercept + f.Slope*f.Planned
	return nil
}

// OverBudget reports whether the line exceeds the budget at the planned size.
func (f *Figure) OverBudget() bool { return f.Budget > 0 && f.AtPlanned > f.Budget }
