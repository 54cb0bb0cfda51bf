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
	drawWidth  = 20 * vg.Centimeter
	drawHeight = 11 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// legendRoom is the least top of the axis in percent, above which the legend
	// stands free of the lines.
	legendRoom = 150
)

// dashes and glyphs tell the lines apart without colour.
var dashes = [][]vg.Length{{}, {vg.Points(8), vg.Points(4)}, {vg.Points(2), vg.Points(3)}, {vg.Points(10), vg.Points(3), vg.Points(2), vg.Points(3)}}

var glyphs = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.CrossGlyph{}}

// drawBurn writes an SVG of how the goals' error budgets were spent.
func drawBurn(path string, now time.Time, goals []yuccarule.Goal, all []*yuccaburn.Windows, over time.Duration) error {
	p := plot.New()
	p.Title.Text = "Error budget spent"
	p.Y.Label.Text = "spent (% of the budget)"
	p.Y.Min, p.Y.Max = 0, legendRoom
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	length := span(goals, over)
	p.X.Label.Text = "time before " + now.UTC().Format("2006-01-02 15:04 UTC") + " (" + axisUnit(length).name + ")"
	for i, g := range goals {
		if err := addGoal(p, i, now, g, all, length); err != nil {
			return yuccaerror.Wrap(yuccaerror.Internal, err)
		}
	}
	addLimit(p, length)
	return yuccaerror.Wrap(yuccaerror.Invalid, p.Save(drawWidth, drawHeight, path))
}

// span returns the time to draw: what was asked for, or else the longest
// window of a goal.
func span(goals []yuccarule.Goal, over time.Duration) time.Duration {
	if over > 0 {
		return over
	}
	for _, g := range goals {
		over = max(over, g.Window)
	}
	return over
}

type unit struct {
	name string
	size time.Duration
}

// axisUnit returns the unit in which a length reads well.
func axisUnit(length time.Duration) unit {
	switch {
	case length > 3*24*time.Hour:
		return unit{"days", 24 * time.Hour}
	case length > 3*time.Hour:
		return unit{"hours", time.Hour}
	}
	return unit{"minutes", time.Minute}
}

func addGoal(p *plot.Plot, i int, now time.Time, g yuccarule.Goal, all []*yuccaburn.Windows, length time.Duration) error {
	size := axisUnit(length).size
	var points plotter.XYs
	for _, h := range yuccaburn.History(now, g, all, length) {
		points = append(points, plotter.XY{X: -float64(max(now.Sub(h.At), 0)) / float64(size), Y: h.Spent * 100})
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Width = lineWidth
	line.Dashes = dashes[i%len(dashes)]
	marks.Shape = glyphs[i%len(glyphs)]
	marks.Radius = vg.Points(2)
	p.Add(line, marks)
	p.Legend.Add(g.Service+" ("+percent(g.Share.Float())+" within "+g.Latency.String()+")", line, marks)
	return nil
}

// addLimit draws where a budget is used up.
func addLimit(p *plot.Plot, length time.Duration) {
	limit, err := plotter.NewLine(plotter.XYs{{X: -float64(length) / float64(axisUnit(length).size), Y: 100}, {X: 0, Y: 100}})
	if err != nil {
		return
	}
	limit.Color = color.Gray{Y: 120}
	limit.Width = vg.Points(1)
	p.Add(limit)
	p.Legend.Add("used up", limit)
}
