package scaling

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Figure is a quantity measured at several sizes.
type Figure struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Over      string  `json:"over"`      // what X is
	Planned   float64 `json:"planned"`   // of X
	Budget    float64 `json:"budget"`    // of Y at the planned size; 0: none is stated
	Mechanism string  `json:"mechanism"` // files and functions that it depends on
	Note      string  `json:"note,omitempty"`
	Command   string  `json:"command"` // that measures it again
	Points    []Point `json:"points"`

	// The line through the points, and its value at the planned size.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // coefficient of determination; 1 if all Y are equal
	AtPlanned float64 `json:"at_planned"`
}

// minPoints is the number of different sizes that a line needs.
const minPoints = 3

// add appends a point.
func (f *Figure) add(x, y float64) { f.Points = append(f.Points, Point{x, y}) }

// fit draws the line through the points by least squares.
func (f *Figure) fit() error {
	sizes := map[float64]bool{}
	var xs, ys []float64
	for _, p := range f.Points {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) {
			return fmt.Errorf("scaling: %s: no value at %v", f.Name, p.X)
		}
		sizes[p.X] = true
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	if len(sizes) < minPoints {
		return fmt.Errorf("scaling: %s: measured at %d sizes, want %d", f.Name, len(sizes), minPoints)
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
