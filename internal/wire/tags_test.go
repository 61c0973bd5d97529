package wire

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// tagSelfDescribed is the tag that RFC 8949, 3.4.6, puts around any item; tagUnassigned has no meaning.
const (
	tagSelfDescribed = 55799
	tagUnassigned    = 4000
)

// Guards against values in tags, which the protocol does not have: the tag was dropped and its content
// taken for the field.
func TestTaggedFieldIsRefused(t *testing.T) {
	for _, field := range submissionFieldNames() {
		job := validJob()
		job[field] = cbor.Tag{Number: tagUnassigned, Content: job[field]}
		if _, err := ParseJob(mustEncode(t, job)); err == nil {
			t.Errorf("%s in a tag: got a job, want an error", field)
		}
	}
	nested := validJob()
	nested["breeds"] = []any{"g8", cbor.Tag{Number: tagUnassigned, Content: "g9"}}
	for name, message := range map[string]any{
		"item of a list in a tag": nested,
		"job in a tag":            cbor.Tag{Number: tagSelfDescribed, Content: validJob()},
		"job in two tags":         cbor.Tag{Number: tagSelfDescribed, Content: cbor.Tag{Number: tagUnassigned, Content: validJob()}},
	} {
		if _, err := ParseJob(mustEncode(t, message)); err == nil {
			t.Errorf("%s: got a job, want an error", name)
		}
	}
}

// Unknown fields are ignored whatever they hold, as long as it is well-formed CBOR.
func TestUnknownFieldMayHoldAnything(t *testing.T) {
	want, err := ParseJob(mustEncode(t, validJob()))
	if err != nil {
		t.Fatal(err)
	}
	duplicate := encodeMap([][]byte{encodeEntry(t, "a", 1), encodeEntry(t, "a", 2)})
	indefinite := []byte{0xbf, 0x61, 'a', 0x9f, 0x01, 0xc1, 0x02, 0xff, 0xff} // {_ "a": [_ 1, 1(2)]}
	for name, value := range map[string]any{
		"tag":                        cbor.Tag{Number: tagUnassigned, Content: "x"},
		"tag in a list in a map":     map[string]any{"a": []any{1, cbor.Tag{Number: tagUnassigned, Content: "x"}}},
		"tag beside long items":      []any{strings.Repeat("x", 300), make([]int, 300), cbor.Tag{Number: 1, Content: 2}},
		"byte string":                []byte{1},
		"map with a duplicate":       Raw(duplicate),
		"map with a tag, indefinite": Raw(indefinite),
		"map with numbers as keys":   map[int]any{1: cbor.Tag{Number: tagUnassigned, Content: 2.5}},
	} {
		job := validJob()
		job["later"] = value
		got, err := ParseJob(mustEncode(t, job))
		if err != nil || !slices.Equal(mustEncode(t, got), mustEncode(t, want)) {
			t.Errorf("unknown field with a %s: got %+v, error %v, want it ignored", name, got, err)
		}
	}
}

func FuzzWithoutTags(f *testing.F) {
	f.Add([]byte{0xbf, 0x61, 'a', 0x9f, 0x01, 0xc1, 0x02, 0xff, 0xff})
	f.Add([]byte{0xa1, 0xc1, 0x42, 0, 0, 0}) // a tag with content that is not valid for it
	f.Add([]byte{0xa1, 0xc1, 0x02, 0x82, 0x5f, 0x41, 1, 0xff, 0xfb, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, item []byte) {
		if tagsDecMode.Wellformed(item) != nil {
			return
		}
		replaced := withoutTags(item)
		if err := decMode.Wellformed(replaced); err != nil {
			t.Fatalf("withoutTags(%x): got %x, want a well-formed item without tags: %v", item, replaced, err)
		}
		if again := withoutTags(replaced); !bytes.Equal(again, replaced) {
			t.Fatalf("withoutTags(%x): got %x, want it unchanged", replaced, again)
		}
	})
}
