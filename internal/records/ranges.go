package records

// Sets of tasks are stored as flattened ranges: [from, to, from, to, ...] in ascending order, where
// each pair stands for the tasks from <= task < to.

// maxRangeLength is the maximum number of tasks that are visited in a range read from a record, so
// that a corrupt range cannot cause an almost endless loop.
const maxRangeLength = 1 << 17

// ForEachInRanges calls visit for each task in flattened ranges, and for at most maxRangeLength
// tasks of each range.
func ForEachInRanges(ranges []int, visit func(task int)) {
	for i := 0; i+1 < len(ranges); i += 2 {
		from, to := ranges[i], ranges[i+1]
		for task := from; task < to && task-from < maxRangeLength; task++ {
			visit(task)
		}
	}
}

// EncodeRanges returns the flattened ranges of those tasks in [from, to) for which included returns
// true.
func EncodeRanges(from, to int, included func(task int) bool) []int {
	var ranges []int
	for task := from; task < to; task++ {
		if included(task) {
			ranges = AppendToRanges(ranges, task)
		}
	}
	return ranges
}

// AppendToRanges adds a task to flattened ranges and returns the result. The task must be greater
// than all tasks in ranges.
func AppendToRanges(ranges []int, task int) []int {
	if n := len(ranges); n > 0 && ranges[n-1] == task {
		ranges[n-1] = task + 1
		return ranges
	}
	return append(ranges, task, task+1)
}
