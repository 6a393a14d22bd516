package capacity

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// beginMark and endMark are the lines of the page between which Write replaces the text.
const (
	beginMark = "<!-- begin of the tables that \"go run ./cmd/capacity\" maintains -->"
	endMark   = "<!-- end of the tables -->"
)

// Measure runs every measurement and returns the series. entry is the command line that
// starts an entry as a separate process, without the flags of the entry. Measure calls
// progress with the name of each series that has been measured. It must run in the root
// of the repository, whose text it reads.
func Measure(ctx context.Context, entry []string, progress func(name string)) (all []Series, err error) {
	defer func() { err = errors.Wrap(err, "measure capacity") }()
	single := func(measure func() Series) func() ([]Series, error) {
		return func() ([]Series, error) { return []Series{measure()}, nil }
	}
	for _, measure := range []func() ([]Series, error){
		single(controlMemory), single(programMemory), single(recoveryTime), single(limitCost), single(heartbeatMessages), single(suspicionMessages),
		relayCost, historyMemory,
		func() ([]Series, error) {
			choices, err := routingCost()
			return []Series{choices}, err
		},
		func() ([]Series, error) { return lightLoadFirstToken(ctx, entry) },
		func() ([]Series, error) { return heavyLoad(ctx, entry) },
		func() ([]Series, error) { return requestCost(ctx, entry) },
		func() ([]Series, error) { return ownershipTimes(ctx) },
	} {
		measured, err := measure()
		if err != nil {
			return nil, err
		}
		for _, series := range measured {
			progress(series.Name)
		}
		all = append(all, measured...)
	}
	return all, nil
}

// Table formats the measurements and their fitted lines as a Markdown table.
func Table(all []Series) string {
	var out strings.Builder
	out.WriteString("| measurement | sizes | values | slope | intercept | largest residual |\n|---|---|---|---|---|---|\n")
	for _, series := range all {
		var xs, ys []string
		for _, point := range series.Points {
			xs = append(xs, formatNumber(point.X))
			ys = append(ys, formatNumber(point.Y))
		}
		fit := series.Fit()
		fmt.Fprintf(&out, "| [%s](capacity/%s.svg): %s | %s %s | %s %s | %s per unit | %s | %.0f %% |\n",
			series.Name, series.Name, series.What, strings.Join(xs, ", "), series.XUnit, strings.Join(ys, ", "), series.YUnit,
			formatNumber(fit.Slope), formatNumber(fit.Intercept), 100*fit.Residual)
	}
	return out.String()
}

func formatNumber(value float64) string { return fmt.Sprintf("%.4g", value) }

// Write replaces the text between the marker lines of the page at path by the table of
// all and the text target, which is the result of TargetTable. It also writes a plot of
// each series into the folder named capacity beside the page. The page must already
// contain both marker lines.
func Write(path string, all []Series, target string) (err error) {
	defer func() { err = errors.Wrapf(err, "write %s", path) }()
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	begin, end := bytes.Index(page, []byte(beginMark)), bytes.Index(page, []byte(endMark))
	if begin < 0 || end < begin {
		return errors.New("page lacks the marker lines around its tables")
	}
	text := string(page[:begin]) + beginMark + "\n\n" + Table(all) + "\n" + target + "\n" + string(page[end:])
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	folder := filepath.Join(filepath.Dir(path), "capacity")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, series := range all {
		if err := drawPlot(filepath.Join(folder, series.Name+".svg"), series); err != nil {
			return err
		}
	}
	return nil
}

// drawPlot writes a plot of a series and its fitted line.
func drawPlot(path string, series Series) error {
	figure := plot.New()
	figure.Title.Text = series.Name
	figure.X.Label.Text, figure.Y.Label.Text = series.XUnit, series.YUnit
	points := make(plotter.XYs, len(series.Points))
	for i, point := range series.Points {
		points[i].X, points[i].Y = point.X, point.Y
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	figure.Add(scatter, plotter.NewFunction(series.Fit().At), plotter.NewGrid())
	const width, height = 12 * vg.Centimeter, 8 * vg.Centimeter
	return figure.Save(width, height, path)
}
