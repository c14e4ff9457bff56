// Package capacity measures how the state and the work of each role grow with the size of
// the fleet, and extrapolates these slopes to the design size.
package capacity

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a quantity measured at several sizes.
type Slope struct {
	Name    string  `json:"name"`
	Per     string  `json:"per"`  // what the size counts
	Unit    string  `json:"unit"` // of the values
	Command string  `json:"command"`
	Points  []Point `json:"points"`
}

// Fit returns the least-squares line through the points: value = base + each *
// size. For a single point, each is 0.
func (s Slope) Fit() (base, each float64) {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return sumY / n, 0
	}
	each = (n*sumXY - sumX*sumY) / denominator
	return (sumY - each*sumX) / n, each
}

// At returns the value on the fitted line at size.
func (s Slope) At(size float64) float64 {
	base, each := s.Fit()
	return base + each*size
}

// Load reads slopes from JSON files and returns them by name.
func Load(paths ...string) (map[string]Slope, error) {
	out := make(map[string]Slope)
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "capacity: read slopes")
		}
		var list []Slope
		if err := json.Unmarshal(raw, &list); err != nil {
			return nil, errors.Wrapf(err, "capacity: decode %s", path)
		}
		for _, s := range list {
			if len(s.Points) == 0 {
				return nil, errors.Newf("capacity: %s: slope %q has no points", path, s.Name)
			}
			out[s.Name] = s
		}
	}
	return out, nil
}

// Save writes slopes to a JSON file.
func Save(path string, slopes []Slope) error {
	raw, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return errors.Wrap(err, "capacity: encode slopes")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "capacity: write slopes")
}
