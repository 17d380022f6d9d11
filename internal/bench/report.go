package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// reportMetric is a metric that the report contains.
type reportMetric struct {
	name  string
	unit  string
	value func(*Metrics) *float64
}

var reportMetrics = []reportMetric{
	{"goodput_of_capacity", "share of attainable", func(m *Metrics) *float64 { return &m.GoodputOfCapacity }},
	{"recovery_s", "s", func(m *Metrics) *float64 { return m.RecoveryS }},
	{"worst_workspace_share", "share of max-min fair share", func(m *Metrics) *float64 { return &m.WorstWorkspaceShare }},
	{"worst_route_share", "share of max-min fair share by route", func(m *Metrics) *float64 { return &m.WorstRouteShare }},
	{"wrongful_refusals", "share", func(m *Metrics) *float64 { return &m.WrongfulRefusals }},
	{"important_lost", "share", func(m *Metrics) *float64 { return &m.ImportantLost }},
	{"attempts_per_request", "attempts", func(m *Metrics) *float64 { return &m.AttemptsPerRequest }},
	{"added_ms_p50", "ms", func(m *Metrics) *float64 { return m.AddedMSP50 }},
	{"added_ms_p99", "ms", func(m *Metrics) *float64 { return m.AddedMSP99 }},
}

// reportGroup identifies runs that differ only by their seed.
type reportGroup struct {
	deployment, scenario, policy string
}

// Report reads the metrics of runs as JSON lines and writes report.md and one SVG plot per metric into
// dir. Runs that differ only by their seed form one row with median, minimum and maximum.
func Report(runs io.Reader, dir string) error {
	groups, err := readMetrics(runs)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("bench: report: %w", err)
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b reportGroup) int {
		return strings.Compare(a.deployment+a.scenario+a.policy, b.deployment+b.scenario+b.policy)
	})
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(reportTable(keys, groups)), 0o644); err != nil {
		return fmt.Errorf("bench: report: %w", err)
	}
	for _, metric := range reportMetrics {
		if err := plotMetric(metric, keys, groups, filepath.Join(dir, metric.name+".svg")); err != nil {
			return fmt.Errorf("bench: plot %s: %w", metric.name, err)
		}
	}
	return nil
}

func readMetrics(runs io.Reader) (map[reportGroup][]Metrics, error) {
	groups := map[reportGroup][]Metrics{}
	lines := bufio.NewScanner(runs)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var m Metrics
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return nil, fmt.Errorf("bench: runs, line %d: %w", number, err)
		}
		key := reportGroup{m.Deployment, m.Scenario, m.Policy}
		groups[key] = append(groups[key], m)
	}
	return groups, lines.Err()
}

func reportTable(keys []reportGroup, groups map[reportGroup][]Metrics) string {
	var b strings.Builder
	b.WriteString("# Measured runs\n\nEach cell is the median over the seeds, with minimum and maximum.\n\n")
	b.WriteString("| deployment | scenario | policy | runs |")
	for _, metric := range reportMetrics {
		fmt.Fprintf(&b, " %s (%s) |", metric.name, metric.unit)
	}
	b.WriteString("\n|---|---|---|---|" + strings.Repeat("---|", len(reportMetrics)) + "\n")
	for _, key := range keys {
		fmt.Fprintf(&b, "| %s | %s | %s | %d |", key.deployment, key.scenario, key.policy, len(groups[key]))
		for _, metric := range reportMetrics {
			values := metricValues(metric, groups[key])
			if len(values) == 0 {
				b.WriteString(" |")
				continue
			}
			fmt.Fprintf(&b, " %.4g (%.4g to %.4g) |", values[len(values)/2], values[0], values[len(values)-1])
		}
		b.WriteString("\n")
	}
	return b.String()
}

// metricValues returns the values of a metric in ascending order.
func metricValues(metric reportMetric, runs []Metrics) []float64 {
	var values []float64
	for i := range runs {
		if value := metric.value(&runs[i]); value != nil {
			values = append(values, *value)
		}
	}
	slices.Sort(values)
	return values
}

// plotMetric plots the median of a metric as one bar per group.
func plotMetric(metric reportMetric, keys []reportGroup, groups map[reportGroup][]Metrics, path string) error {
	var medians plotter.Values
	var labels []string
	for _, key := range keys {
		values := metricValues(metric, groups[key])
		if len(values) == 0 {
			continue
		}
		medians = append(medians, values[len(values)/2])
		labels = append(labels, key.deployment+"\n"+key.scenario+"\n"+key.policy)
	}
	if len(medians) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = metric.name
	p.Y.Label.Text = metric.unit
	p.Y.Min = 0
	const barWidth, inchesPerBar = 0.5 * vg.Inch, 1.2 * vg.Inch
	bars, err := plotter.NewBarChart(medians, barWidth)
	if err != nil {
		return err
	}
	p.Add(bars)
	p.NominalX(labels...)
	return p.Save(vg.Length(len(medians)+1)*inchesPerBar, 4*vg.Inch, path)
}
