package measurer

import "testing"

// BenchmarkSlopes reports the slopes that docs/design/capacity.md lists.
func BenchmarkSlopes(b *testing.B) {
	for range b.N {
		s, err := MeasureSlopes()
		if err != nil {
			b.Fatal(err)
		}
		for _, sl := range s.List {
			b.ReportMetric(sl.Slope, metricName(sl))
		}
	}
}

func metricName(s Slope) string {
	name := []rune(s.Name + "/" + s.Unit)
	for i, r := range name {
		if r == ' ' {
			name[i] = '-'
		}
	}
	return string(name)
}
