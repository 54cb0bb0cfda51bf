package main

import (
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"yuccawell.example/core/yuccaburn"
	"yuccawell.example/core/yuccaerror"
	"yuccawell.example/core/yuccarule"
)

const (
	// chartWidth is the width of the image.
	chartWidth = 20 * vg.Centimeter
	// chartHeight is the height of the image.
	chartHeight = 11 * vg.Centimeter
	// chartLineWidth is the width of a goal's line, in points.
	chartLineWidth = vg.Length(1.5)
	// minAxisTopPercent is the least upper end of the vertical axis, in percent.
	// It leaves room for the legend above the lines.
	minAxisTopPercent = 150
)

// lineDashes are the dash patterns that distinguish the goals' lines without
// colour.
var lineDashes = [][]vg.Length{{}, {vg.Points(8), vg.Points(4)}, {vg.Points(2), vg.Points(3)}, {vg.Points(10), vg.Points(3), vg.Points(2), vg.Points(3)}}

// lineGlyphs are the point marks that distinguish the goals' lines without colour.
var lineGlyphs = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.CrossGlyph{}}

// drawChart writes an SVG file that shows how much of each goal's error budget was
// spent during the time over that ends at now. An over of zero means the longest
// window of a goal.
func drawChart(path string, now time.Time, goals []yuccarule.Goal, windows []*yuccaburn.Windows, over time.Duration) error {
	p := plot.New()
	p.Title.Text = "Error budget spent"
	p.Y.Label.Text = "spent (% of the budget)"
	p.Y.Min, p.Y.Max = 0, minAxisTopPercent
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	length := chartSpan(goals, over)
	p.X.Label.Text = "time before " + now.UTC().Format("2006-01-02 15:04 UTC") + " (" + timeAxisUnit(length).name + ")"
	for i, g := range goals {
		if err := addGoalLine(p, i, now, g, windows, length); err != nil {
			return yuccaerror.Wrap(yuccaerror.Internal, err)
		}
	}
	addBudgetLimit(p, length)
	return yuccaerror.Wrap(yuccaerror.Invalid, p.Save(chartWidth, chartHeight, path))
}

// chartSpan returns the length of time to draw: over if set, else the longest
// window of a goal.
func chartSpan(goals []yuccarule.Goal, over time.Duration) time.Duration {
	if over > 0 {
		return over
	}
	for _, g := range goals {
		over = max(over, g.Window)
	}
	return over
}

// axisUnit is a unit of the time axis.
type axisUnit struct {
	// name is the unit's name in the axis label.
	name string
	// size is the length of one unit.
	size time.Duration
}

// timeAxisUnit returns the unit for a time axis of the given length.
func timeAxisUnit(length time.Duration) axisUnit {
	switch {
	case length > 3*24*time.Hour:
		return axisUnit{"days", 24 * time.Hour}
	case length > 3*time.Hour:
		return axisUnit{"hours", time.Hour}
	}
	return axisUnit{"minutes", time.Minute}
}

// addGoalLine adds the line of the goal with index i, and its legend.
func addGoalLine(p *plot.Plot, i int, now time.Time, g yuccarule.Goal, windows []*yuccaburn.Windows, length time.Duration) error {
	size := timeAxisUnit(length).size
	var points plotter.XYs
	for _, point := range yuccaburn.History(now, g, windows, length) {
		points = append(points, plotter.XY{X: -float64(max(now.Sub(point.At), 0)) / float64(size), Y: point.Spent * 100})
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Width = chartLineWidth
	line.Dashes = lineDashes[i%len(lineDashes)]
	marks.Shape = lineGlyphs[i%len(lineGlyphs)]
	marks.Radius = vg.Points(2)
	p.Add(line, marks)
	p.Legend.Add(g.Service+" ("+formatPercent(g.Share.Float())+" within "+g.Latency.String()+")", line, marks)
	return nil
}

// addBudgetLimit adds a line at 100%, where a budget is used up.
func addBudgetLimit(p *plot.Plot, length time.Duration) {
	limit, err := plotter.NewLine(plotter.XYs{{X: -float64(length) / float64(timeAxisUnit(length).size), Y: 100}, {X: 0, Y: 100}})
	if err != nil {
		return
	}
	limit.Color = color.Gray{Y: 120}
	limit.Width = vg.Points(1)
	p.Add(limit)
	p.Legend.Add("used up", limit)
}
