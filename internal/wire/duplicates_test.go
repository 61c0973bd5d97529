package wire

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a field given twice, of which one value was used and the other ignored. RFC 8949, 5.6,
// calls a map with duplicate keys invalid.
func TestFieldGivenTwiceIsRefused(t *testing.T) {
	for _, field := range submissionFieldNames() {
		entries := mapEntries(t, validJob())
		entries = append(entries, encodeEntry(t, field, validJob()[field]))
		_, err := ParseJob(encodeMap(entries))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s given twice: got error %v, want one that names it", field, err)
		}
	}
}

// mapEntries returns the encoded entries of a map, in the order of their keys.
func mapEntries(t *testing.T, fields map[string]any) [][]byte {
	t.Helper()
	var entries [][]byte
	for _, name := range submissionFieldNames() {
		entries = append(entries, encodeEntry(t, name, fields[name]))
	}
	return entries
}

func encodeEntry(t *testing.T, key string, value any) []byte {
	t.Helper()
	return append(mustEncode(t, key), mustEncode(t, value)...)
}

// encodeMap returns the map of fewer than 256 encoded entries.
func encodeMap(entries [][]byte) []byte {
	const mapWithOneByteLength = 0xb8
	return append([]byte{mapWithOneByteLength, byte(len(entries))}, bytes.Join(entries, nil)...)
}
