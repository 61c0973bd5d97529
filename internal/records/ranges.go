package records

// maxRangeLength bounds a range read from a record, so that a damaged one does no harm.
const maxRangeLength = 1 << 17

// ForEachInRanges visits the tasks of flattened ranges.
func ForEachInRanges(r []int, f func(int)) {
	for i := 0; i+1 < len(r); i += 2 {
		for t := r[i]; t < r[i+1] && t-r[i] < maxRangeLength; t++ {
			f(t)
		}
	}
}

// EncodeRanges returns the tasks of [from, to) that are included as flattened ranges.
func EncodeRanges(from, to int, included func(task int) bool) []int {
	var ranges []int
	for task := from; task < to; task++ {
		if included(task) {
			ranges = AppendToRanges(ranges, task)
		}
	}
	return ranges
}

// AppendToRanges adds a task above all others to flattened ranges.
func AppendToRanges(ranges []int, task int) []int {
	if n := len(ranges); n > 0 && ranges[n-1] == task {
		ranges[n-1] = task + 1
		return ranges
	}
	return append(ranges, task, task+1)
}
