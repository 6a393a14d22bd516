// Package capacity measures how memory, processor time and messages of each part of
// the system grow with its load. It fits a straight line to each series of
// measurements, extrapolates to the target size, and writes the tables of
// docs/CAPACITY.md.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y at the size X, in the units of the series.
type Point struct {
	X, Y float64
}

// Series is one quantity measured at several sizes.
type Series struct {
	// Name is a short unique name. It is also the name of the plot's file.
	Name string
	// What describes the measured quantity and how it was measured.
	What string
	// XUnit and YUnit are the units of the axes.
	XUnit, YUnit string
	// Points are the measurements, ordered by X.
	Points []Point
}

// Fit is a straight line through a series.
type Fit struct {
	// Intercept is in the YUnit of the series, Slope in YUnit per XUnit.
	Intercept, Slope float64
	// Residual is the largest vertical distance of a point from the line, divided by the
	// largest absolute measured value.
	Residual float64
}

// Fit returns the least-squares line through the points.
func (s Series) Fit() Fit {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	largest := 0.0
	for i, point := range s.Points {
		xs[i], ys[i] = point.X, point.Y
		largest = max(largest, math.Abs(point.Y))
	}
	fit := Fit{}
	fit.Intercept, fit.Slope = stat.LinearRegression(xs, ys, nil, false)
	for _, point := range s.Points {
		if largest > 0 {
			fit.Residual = max(fit.Residual, math.Abs(point.Y-fit.At(point.X))/largest)
		}
	}
	return fit
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }
