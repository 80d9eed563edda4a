package jujubeslope_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/load/services/jujubeslope"
)

// TestFitLineFindsTheLine guards against a wrong slope or intercept, from which the capacity page extrapolates by a factor
// of six.
func TestFitLineFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-1e3, 1e3).Draw(t, "slope")
		intercept := rapid.Float64Range(-1e4, 1e4).Draw(t, "intercept")
		var points []jujubeslope.Point
		for _, size := range []float64{8, 16, 32, 64, 370} {
			points = append(points, jujubeslope.Point{Size: size, Value: intercept + slope*size})
		}
		fit := jujubeslope.FitLine(points)
		assert.Assert(t, math.Abs(fit.At(600)-(intercept+600*slope)) < 1e-6*(1+math.Abs(intercept)+600*math.Abs(slope)))
		assert.Assert(t, fit.R2 > 0.999 || slope == 0 || math.Abs(slope) < 1e-3)
	})
}

// TestFitLineOfOtherPoints guards against a line through scattered points that isn't the least-squares line, and against a
// division by zero with no points or one.
func TestFitLineOfOtherPoints(t *testing.T) {
	fit := jujubeslope.FitLine([]jujubeslope.Point{{1, 1}, {2, 3}, {3, 2}, {4, 4}})
	assert.Assert(t, math.Abs(fit.Slope-0.8) < 1e-9 && math.Abs(fit.Intercept-0.5) < 1e-9 && math.Abs(fit.R2-0.64) < 1e-9)
	assert.Equal(t, jujubeslope.FitLine(nil), jujubeslope.Fit{})
	assert.Equal(t, jujubeslope.FitLine([]jujubeslope.Point{{5, 7}}).At(100), 7.0)
}

// TestSmallStudies guards against a study that fails or yields fewer than four points in a series, and against a report that
// can't be encoded as JSON.
func TestSmallStudies(t *testing.T) {
	_, err := jujubedocument.Parse("slopes", []byte(jujubeslope.Document(600)))
	assert.NilError(t, err)
	report, err := jujubeslope.Run(context.Background(), map[string]bool{"rollout": true, "connections": true, "memory": true})
	assert.NilError(t, err)
	assert.Assert(t, len(report.Series) > 15)
	for _, series := range report.Series {
		assert.Assert(t, len(series.Points) >= 4, series.Name)
	}
	var out bytes.Buffer
	assert.NilError(t, report.WriteJSON(&out))
	assert.NilError(t, json.Unmarshal(out.Bytes(), &jujubeslope.Report{}))
	assert.NilError(t, report.WriteTable(&out))
}
