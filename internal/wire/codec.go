// Package wire defines the messages that ambersill exchanges with users, workers, the cloud
// and the key-value store. It is the only package that knows the protocol's field names.
package wire

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ContentType is the content type of every body.
const ContentType = "application/cbor"

// MaxBodyBytes is the protocol's limit on bodies of requests, and of responses to users and
// workers.
const MaxBodyBytes = 64 << 10

// maxResponseBytes bounds responses of the key-value store and the cloud. Pages have at most
// 512 KiB; a watch may return all changes of a longer time at once.
const maxResponseBytes = 8 << 20

// Limits of decoding, which bound what a hostile body can cost.
const (
	maxNestedLevels = 16
	maxElements     = 1 << 17 // of an array or a map
)

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Raw is a value that stays encoded until its reader knows its type.
type Raw = cbor.RawMessage

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `cbor:"error"`
}

// ResponseTooLargeError reports a response over the size limit.
type ResponseTooLargeError struct{ LimitBytes int }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response over %d bytes", e.LimitBytes)
}

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes exactly one message; anything after it is an error.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// ReadResponse reads and decodes a response of bounded size.
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
