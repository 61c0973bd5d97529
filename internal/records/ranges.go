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

// EncodeRanges packs the set of finished tasks of [from, to) for a record.
func EncodeRanges(from, to int, done func(int) bool) []int {
	var out []int
	for i := from; i < to; i++ {
		if !done(i) {
			continue
		}
		if n := len(out); n > 0 && out[n-1] == i {
			out[n-1] = i + 1
		} else {
			out = append(out, i, i+1)
		}
	}
	return out
}
