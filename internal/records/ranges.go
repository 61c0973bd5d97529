package records

// Sets of tasks are stored as flattened ranges: [from, to, from, to, ...] in ascending order,
// each to exclusive.

// maxRangeLength bounds a range that is read from a record, so that a damaged one does no harm.
const maxRangeLength = 1 << 17

// ForEachInRanges calls visit for each task of flattened ranges.
func ForEachInRanges(ranges []int, visit func(task int)) {
	for i := 0; i+1 < len(ranges); i += 2 {
		from, to := ranges[i], ranges[i+1]
		for task := from; task < to && task-from < maxRangeLength; task++ {
			visit(task)
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

// AppendToRanges adds a task to flattened ranges; it must be above all others.
func AppendToRanges(ranges []int, task int) []int {
	if n := len(ranges); n > 0 && ranges[n-1] == task {
		ranges[n-1] = task + 1
		return ranges
	}
	return append(ranges, task, task+1)
}
