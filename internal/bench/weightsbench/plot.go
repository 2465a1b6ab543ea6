package weightsbench

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot plots the fetch time and the origin copies against the number of hosts.
func Plot(file string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Time to the last host over the bound, and copies drawn from the origin"
	p.X.Label.Text = "hosts"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	var lines []any
	for _, strategy := range []string{StrategyOrigin, StrategyTrees, StrategyTime} {
		times, copies := plotter.XYs{}, plotter.XYs{}
		for _, row := range rows {
			if row.Strategy == strategy {
				times = append(times, plotter.XY{X: float64(row.Hosts), Y: row.OverBound})
				copies = append(copies, plotter.XY{X: float64(row.Hosts), Y: row.OriginCopies})
			}
		}
		lines = append(lines, strategy+": time", times, strategy+": copies", copies)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	p.Legend.Top, p.Legend.Left = true, true
	const width, height = 8, 5
	return p.Save(width*vg.Inch, height*vg.Inch, file)
}
