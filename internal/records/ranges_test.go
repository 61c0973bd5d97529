package records

import (
	"slices"
	"testing"
)

func TestRangesRoundTrip(t *testing.T) {
	tests := map[string]struct {
		tasks  []int
		ranges []int
	}{
		"no task":        {tasks: nil, ranges: nil},
		"one task":       {tasks: []int{4}, ranges: []int{4, 5}},
		"adjacent":       {tasks: []int{2, 3, 4}, ranges: []int{2, 5}},
		"with gaps":      {tasks: []int{2, 4, 5, 9}, ranges: []int{2, 3, 4, 6, 9, 10}},
		"first and last": {tasks: []int{0, 9}, ranges: []int{0, 1, 9, 10}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ranges := EncodeRanges(0, 10, func(task int) bool { return slices.Contains(test.tasks, task) })
			if !slices.Equal(ranges, test.ranges) {
				t.Errorf("EncodeRanges: got %v, want %v", ranges, test.ranges)
			}
			var tasks []int
			ForEachInRanges(ranges, func(task int) { tasks = append(tasks, task) })
			if !slices.Equal(tasks, test.tasks) {
				t.Errorf("ForEachInRanges: visited %v, want %v", tasks, test.tasks)
			}
		})
	}
}

func TestForEachInRangesBoundsCorruptRange(t *testing.T) {
	visited := 0
	ForEachInRanges([]int{0, 1 << 40, 7}, func(int) { visited++ })
	if visited != maxRangeLength {
		t.Errorf("ForEachInRanges with a corrupt range: visited %d tasks, want %d", visited, maxRangeLength)
	}
}
