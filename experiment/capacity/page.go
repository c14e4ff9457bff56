package capacity

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Term is one summand of a figure: the value of a slope at a size, times a factor.
type Term struct {
	Slope  string
	Size   float64
	Factor float64 // for example events per second; 0 means 1
}

// Row is one figure of the page: the sum of its terms, compared with a limit.
type Row struct {
	Role      string
	Quantity  string
	Unit      string
	Mechanism string
	Limit     float64 // 0 means no limit
	Terms     []Term
}

// Value returns the figure, or the name of the first slope that has not been measured.
func (r Row) Value(slopes map[string]Slope) (value float64, missing string) {
	for _, t := range r.Terms {
		s, ok := slopes[t.Slope]
		if !ok {
			return 0, t.Slope
		}
		factor := t.Factor
		if factor == 0 {
			factor = 1
		}
		value += s.At(t.Size) * factor
	}
	return value, ""
}

// WritePage fills the tables between the markers of the page at path.
func WritePage(path string, slopes map[string]Slope) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "capacity: read page")
	}
	page, err := replaceSection(string(raw), "slopes", slopeTable(slopes))
	if err != nil {
		return err
	}
	page, err = replaceSection(page, "figures", figureTable(slopes))
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, []byte(page), 0o644), "capacity: write page")
}

// replaceSection replaces the text between the markers of a section.
func replaceSection(page, section, table string) (string, error) {
	begin := "<!-- begin " + section + " -->\n"
	end := "<!-- end " + section + " -->"
	head, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", errors.Newf("capacity: the page has no marker %q", begin)
	}
	_, tail, ok := strings.Cut(rest, end)
	if !ok {
		return "", errors.Newf("capacity: the page has no marker %q", end)
	}
	return head + begin + table + end + tail, nil
}

func slopeTable(slopes map[string]Slope) string {
	var b strings.Builder
	b.WriteString("| slope | unit | per | measured (size: value) | fit: base + each | command |\n|---|---|---|---|---|---|\n")
	for _, name := range sortedNames(slopes) {
		s := slopes[name]
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%s: %s", formatFigure(p.Size), formatFigure(p.Value)))
		}
		base, each := s.Fit()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s + %s | `%s` |\n", s.Name, s.Unit, s.Per, strings.Join(points, ", "), formatFigure(base), formatFigure(each), s.Command)
	}
	return b.String()
}

func figureTable(slopes map[string]Slope) string {
	var b strings.Builder
	b.WriteString("| role | quantity | at the design size | limit | held | mechanism |\n|---|---|---|---|---|---|\n")
	for _, r := range rows() {
		value, missing := r.Value(slopes)
		if missing != "" {
			fmt.Fprintf(&b, "| %s | %s | not measured (%s) | %s | unknown | %s |\n", r.Role, r.Quantity, missing, limitText(r), r.Mechanism)
			continue
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Quantity, formatFigure(value), r.Unit, limitText(r), withinLimit(r, value), r.Mechanism)
	}
	return b.String()
}

func limitText(r Row) string {
	if r.Limit == 0 {
		return "none set"
	}
	return formatFigure(r.Limit) + " " + r.Unit
}

func withinLimit(r Row, value float64) string {
	switch {
	case r.Limit == 0:
		return "-"
	case value <= r.Limit:
		return fmt.Sprintf("yes, %.0f%%", 100*value/r.Limit)
	default:
		return fmt.Sprintf("**no, %.0f%%**", 100*value/r.Limit)
	}
}

// formatFigure formats a figure with three significant digits, or as an integer from 1000 on.
func formatFigure(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
