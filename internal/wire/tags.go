package wire

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
)

// Major types of CBOR items and values of the additional information in an item's first byte; see
// RFC 8949, section 3.
const (
	majorTypeShift        = 5
	additionalInformation = 1<<majorTypeShift - 1

	majorTypeByteString = 2
	majorTypeTextString = 3
	majorTypeArray      = 4
	majorTypeMap        = 5
	majorTypeTag        = 6

	firstArgumentBytes = 24 // the argument follows in 1 byte, and in 2, 4 and 8 for the next values
	indefiniteLength   = 31

	emptyByteString = 0x40
	breakCode       = 0xff
)

// tagsDecMode accepts tags. It checks that an item with some is well-formed.
var tagsDecMode = newDecMode(func(options *cbor.DecOptions) { options.TagsMd = cbor.TagsAllowed })

// decodeIgnoringTags decodes a message that has tags in unknown fields, which are ignored. The
// protocol has no tags, so a known field in one is an error.
func decodeIgnoringTags(b []byte, v any) error {
	if err := tagsDecMode.Wellformed(b); err != nil {
		return err
	}
	return decMode.Unmarshal(withoutTags(b), v)
}

// withoutTags returns a well-formed item in which an empty byte string stands for each tagged item. No
// field of a message accepts a byte string.
func withoutTags(item []byte) []byte {
	replacer := tagReplacer{in: item, out: make([]byte, 0, len(item))}
	replacer.replaceItem()
	return replacer.out
}

// tagReplacer copies well-formed items from in to out, without tags.
type tagReplacer struct {
	in, out []byte
	// skipping is set while a tagged item is read, which is not copied.
	skipping bool
}

func (r *tagReplacer) replaceItem() {
	majorType := r.in[0] >> majorTypeShift
	if majorType == majorTypeTag {
		r.replaceTagged()
		return
	}
	argument, indefinite := r.readHead()
	switch {
	case indefinite:
		r.replaceUntilBreak()
	case majorType == majorTypeByteString, majorType == majorTypeTextString:
		r.read(argument)
	case majorType == majorTypeArray:
		r.replaceItems(argument)
	case majorType == majorTypeMap:
		r.replaceItems(2 * argument)
	}
}

// replaceTagged reads a tag and its content, and writes an empty byte string. A tag in a tag is part of
// the content.
func (r *tagReplacer) replaceTagged() {
	outermost := !r.skipping
	r.skipping = true
	r.readHead()
	r.replaceItem()
	if outermost {
		r.skipping = false
		r.out = append(r.out, emptyByteString)
	}
}

func (r *tagReplacer) replaceItems(count uint64) {
	for range count {
		r.replaceItem()
	}
}

func (r *tagReplacer) replaceUntilBreak() {
	for r.in[0] != breakCode {
		r.replaceItem()
	}
	r.read(1)
}

// readHead reads the head of an item, and returns its argument.
func (r *tagReplacer) readHead() (argument uint64, indefinite bool) {
	information := r.read(1)[0] & additionalInformation
	switch {
	case information == indefiniteLength:
		return 0, true
	case information < firstArgumentBytes:
		return uint64(information), false
	}
	var encoded [8]byte
	size := 1 << (information - firstArgumentBytes)
	copy(encoded[len(encoded)-size:], r.read(uint64(size)))
	return binary.BigEndian.Uint64(encoded[:]), false
}

// read returns the next n bytes, and copies them unless they belong to a tagged item.
func (r *tagReplacer) read(n uint64) []byte {
	next := r.in[:n]
	r.in = r.in[n:]
	if !r.skipping {
		r.out = append(r.out, next...)
	}
	return next
}
