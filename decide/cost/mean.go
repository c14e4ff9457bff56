package cost

import (
	"math"
	"time"
)

// Half-lives of what is learned, in answers and in time: the mix of requests of a route
// changes within minutes, and a few hundred answers are enough for a mean.
const (
	answersHalfLife = 100
	timeHalfLife    = time.Minute
)

// decay returns the weight that earlier answers keep when another one arrives after a time.
func decay(passed time.Duration) float64 {
	return math.Exp2(-1.0/answersHalfLife - float64(max(0, passed))/float64(timeHalfLife))
}

// mean is the mean of recent values.
type mean struct {
	weight, sum float64
	at          time.Duration
}

func (m *mean) add(now time.Duration, value float64) {
	keep := decay(now - m.at)
	m.weight, m.sum, m.at = m.weight*keep+1, m.sum*keep+value, max(now, m.at)
}

// with returns the mean together with a prior of the given weight.
func (m *mean) with(prior, weight float64) float64 {
	return (m.sum + prior*weight) / (m.weight + weight)
}

// line is the least-squares fit y = a + b*x of recent values, together with two prior points.
type line struct {
	sums     lineSums
	at       time.Duration
	prior    lineSums
	min, max slopeRange
}

type lineSums struct{ n, x, y, xx, xy float64 }

// slopeRange is one end of the range of intercept and slope.
type slopeRange struct{ intercept, slope float64 }

// newLine returns a line through two prior points, whose parameters stay within a factor of
// ten of it.
func newLine(intercept, slope, x0, x1, weight float64) line {
	l := line{min: slopeRange{intercept / 10, slope / 10}, max: slopeRange{intercept * 10, slope * 10}}
	l.prior.add(x0, intercept+slope*x0, weight)
	l.prior.add(x1, intercept+slope*x1, weight)
	return l
}

func (s *lineSums) add(x, y, weight float64) {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

// maxOutlier is by how much a value may differ from the fit, as a factor: one stalled answer
// must not change the fit for all, and a prompt behind a long one waits many times as long as
// usual. A lower factor brings the fit closer to the median than to the mean.
const maxOutlier = 1.5

func (l *line) observe(now time.Duration, x, y float64) {
	if !(x >= 0) || !(y >= 0) || math.IsInf(x, 0) {
		return
	}
	a, b := l.fit()
	expected := a + b*x
	y = min(max(y, expected/maxOutlier), expected*maxOutlier)
	keep := decay(now - l.at)
	s := &l.sums
	*s = lineSums{s.n * keep, s.x * keep, s.y * keep, s.xx * keep, s.xy * keep}
	s.add(x, y, 1)
	l.at = max(now, l.at)
}

// fit returns intercept and slope.
func (l *line) fit() (a, b float64) {
	s := l.sums
	s.n += l.prior.n
	s.x += l.prior.x
	s.y += l.prior.y
	s.xx += l.prior.xx
	s.xy += l.prior.xy
	b = (s.n*s.xy - s.x*s.y) / (s.n*s.xx - s.x*s.x) // the prior has two different points
	b = min(max(b, l.min.slope), l.max.slope)
	a = (s.y - b*s.x) / s.n
	return min(max(a, l.min.intercept), l.max.intercept), b
}
