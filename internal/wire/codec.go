// Package wire holds the messages that ambersill exchanges with users, workers,
// the cloud and the state service. It is the only package that knows the
// protocol's field names; everything else speaks of jobs, tasks and machines.
package wire

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// ContentType is sent with every body.
const ContentType = "application/cbor"

// MaxBodyBytes is the protocol's limit on request bodies and on responses to users
// and workers, in bytes.
const MaxBodyBytes = 64 << 10

// maxResponseBytes bounds what is read of a reply of the state service or the cloud:
// pages are at most 512 KiB, and a watch may hold all changes of a while.
const maxResponseBytes = 8 << 20

var (
	encMode = must(cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		DefaultMapType:   nil,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes exactly one message; anything after it is an error.
func Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// Raw is a value kept encoded until its reader knows its type.
type Raw = cbor.RawMessage

// ReadResponse reads and decodes a bounded reply.
func ReadResponse(r io.Reader, v any) error {
	b, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(b) > maxResponseBytes {
		return fmt.Errorf("reply over %d bytes", maxResponseBytes)
	}
	return Unmarshal(b, v)
}
