// Package wire defines the messages that ambersill exchanges with users, workers, the cloud
// and the key-value store. It is the only package that knows the protocol's field names.
package wire

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ContentType is the content type of every request and response body.
const ContentType = "application/cbor"

// MaxBodyBytes is the limit of 64 KiB that the protocol sets on request bodies and on the bodies
// of responses to users and workers.
const MaxBodyBytes = 64 << 10

// maxResponseBytes limits responses of the key-value store and the cloud. A page has at most
// 512 KiB, but one watch response may hold the changes of a long period.
const maxResponseBytes = 8 << 20

// Decoding limits bound the time and memory that a malicious message can consume.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 17 // elements of an array, or pairs of a map
)

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode())
	decMode = newDecMode(func(options *cbor.DecOptions) {
		options.DupMapKey = cbor.DupMapKeyEnforcedAPF
		options.TagsMd = cbor.TagsForbidden
	})
)

// newDecMode returns a mode that decodes within the limits, and that compares field names exactly, so that
// an unknown field is ignored even if its name differs from a known one only in case.
func newDecMode(change func(options *cbor.DecOptions)) cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}
	change(&options)
	return must(options.DecMode())
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Raw is an encoded CBOR value that is decoded later, when its type is known.
type Raw = cbor.RawMessage

// ErrorResponse is the body of a response that refuses a request.
type ErrorResponse struct {
	Error string `cbor:"error"`
}

// ResponseTooLargeError reports that a response exceeds the size limit.
type ResponseTooLargeError struct{ LimitBytes int }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.LimitBytes)
}

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes a single message. It returns an error if data follows the message, if a map has a
// key twice, if a value is in a tag, or if the type of v has required fields and one is missing. Unknown
// fields are ignored, whatever they contain.
func Unmarshal(b []byte, v any) error {
	if message, ok := v.(messageDecoder); ok {
		return message.DecodeMessage(b)
	}
	return DecodeFields(b, v)
}

// DecodeFields is Unmarshal without the check for required fields.
func DecodeFields(b []byte, v any) error {
	err := decMode.Unmarshal(b, v)
	if _, hasTags := errors.AsType[*cbor.TagsMdError](err); hasTags {
		return decodeIgnoringTags(b, v)
	}
	return err
}

// ReadResponse reads and decodes a response. It returns a *ResponseTooLargeError if the response
// exceeds maxResponseBytes.
func ReadResponse(r io.Reader, v any) error {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return fmt.Errorf("reading response: %w", err)
	}
	if len(body) > maxResponseBytes {
		return &ResponseTooLargeError{LimitBytes: maxResponseBytes}
	}
	if err := Unmarshal(body, v); err != nil {
		return fmt.Errorf("decoding response: %w", err)
	}
	return nil
}
