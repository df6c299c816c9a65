// Package regression fits lines and power laws to measured points by ordinary least squares, with 95% confidence
// intervals. Its functions do no I/O and are safe for concurrent use. Start reading at [FitLine].
package regression

import (
	"errors"
	"math"
)

var (
	// ErrTooFewPoints is the error of a fit to fewer than three points, which has no confidence interval.
	ErrTooFewPoints = errors.New("fewer than three points")
	// ErrOneSize is the error of points that all have the same size.
	ErrOneSize = errors.New("all points have one size")
	// ErrNotPositive is the error of a point without a logarithm.
	ErrNotPositive = errors.New("a point is not above zero")
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Estimate is a fitted parameter with its 95% confidence interval.
type Estimate struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
}

// Line is Value = Intercept + Slope * Size.
type Line struct {
	Slope     Estimate `json:"slope"`
	Intercept float64  `json:"intercept"`
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope.Value*size }

// PowerLaw is Value = Factor * Size^Exponent.
type PowerLaw struct {
	Exponent Estimate `json:"exponent"`
	Factor   float64  `json:"factor"`
}

// FitLine fits a line to points. It returns [ErrTooFewPoints] or [ErrOneSize] where there is none.
func FitLine(points []Point) (Line, error) {
	if len(points) < 3 {
		return Line{}, ErrTooFewPoints
	}
	meanSize, meanValue := means(points)
	var squares, products float64 // of the deviations from the mean size
	for _, p := range points {
		squares += (p.Size - meanSize) * (p.Size - meanSize)
		products += (p.Size - meanSize) * (p.Value - meanValue)
	}
	if squares == 0 {
		return Line{}, ErrOneSize
	}
	slope := products / squares
	intercept := meanValue - slope*meanSize
	degrees := len(points) - 2
	var residuals float64 // their squares
	for _, p := range points {
		residual := p.Value - intercept - slope*p.Size
		residuals += residual * residual
	}
	margin := quantile(degrees) * math.Sqrt(residuals/float64(degrees)/squares)
	return Line{Slope: Estimate{Value: slope, Low: slope - margin, High: slope + margin}, Intercept: intercept}, nil
}

// FitPowerLaw fits a line to the logarithms of points: its slope is the exponent of growth. It returns
// [ErrNotPositive] where a point has no logarithm, or an error of [FitLine].
func FitPowerLaw(points []Point) (PowerLaw, error) {
	logs := make([]Point, 0, len(points))
	for _, p := range points {
		if p.Size <= 0 || p.Value <= 0 {
			return PowerLaw{}, ErrNotPositive
		}
		logs = append(logs, Point{Size: math.Log(p.Size), Value: math.Log(p.Value)})
	}
	line, err := FitLine(logs)
	if err != nil {
		return PowerLaw{}, err
	}
	return PowerLaw{Exponent: line.Slope, Factor: math.Exp(line.Intercept)}, nil
}

// means returns the mean size and the mean value of points.
func means(points []Point) (size, value float64) {
	for _, p := range points {
		size += p.Size
		value += p.Value
	}
	count := float64(len(points))
	return size / count, value / count
}

// quantiles are the 97.5% quantiles of Student's t distribution for 1, 2, 3, ... degrees of freedom.
var quantiles = []float64{
	12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
	2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
	2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
}

// quantile returns the 97.5% quantile of Student's t distribution. Above 30 degrees of freedom it is the one for 30,
// which makes intervals a little too wide.
func quantile(degrees int) float64 { return quantiles[min(degrees, len(quantiles))-1] }
