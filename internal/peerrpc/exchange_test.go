package peerrpc

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"reflect"
	"testing"
)

// TestProductionMessages also compiles this file in this package of the version in production,
// so it may use only names that both versions have.

// emptyMessages returns an empty value of the argument and the reply of each method, except
// replies without fields.
func emptyMessages() []any {
	return []any{&Claim{}, &Cancellation{}, &Query{}, &Answer{}, &ReportBatch{}, &BatchReply{}}
}

// setDistinctValues sets every field in v, also in nested values, to a value that is not zero.
// Fields of the same type get different values, except booleans. Each call increases counter.
func setDistinctValues(t *testing.T, v reflect.Value, counter *int) {
	*counter++
	switch v.Kind() {
	case reflect.Struct:
		for _, field := range v.Fields() {
			setDistinctValues(t, field, counter)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setDistinctValues(t, v.Elem(), counter)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			setDistinctValues(t, v.Index(i), counter)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *counter))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint64:
		v.SetUint(uint64(*counter))
	case reflect.Float64:
		v.SetFloat(float64(*counter) + 0.5)
	case reflect.Bool:
		v.SetBool(true)
	default:
		t.Fatalf("setting a field of type %v is not implemented", v.Type())
	}
}

// filledMessages returns all messages with every field set.
func filledMessages(t *testing.T) []any {
	messages := emptyMessages()
	counter := 0
	for _, message := range messages {
		setDistinctValues(t, reflect.ValueOf(message).Elem(), &counter)
	}
	return messages
}

// writeMessages writes all messages to a file, each encoded as a gob stream of its own.
func writeMessages(t *testing.T, file string) {
	var encoded [][]byte
	for _, message := range filledMessages(t) {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(message); err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, b.Bytes())
	}
	var all bytes.Buffer
	if err := gob.NewEncoder(&all).Encode(encoded); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, all.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// checkMessages decodes the messages in a file that writeMessages of another version has written,
// and compares every field.
func checkMessages(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var encoded [][]byte
	if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&encoded); err != nil {
		t.Fatal(err)
	}
	messages, want := emptyMessages(), filledMessages(t)
	if len(encoded) != len(messages) {
		t.Fatalf("messages in the file of the other version: got %d, want %d", len(encoded), len(messages))
	}
	for i, message := range messages {
		if err := gob.NewDecoder(bytes.NewReader(encoded[i])).Decode(message); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(message, want[i]) {
			t.Errorf("message %T decoded from the other version's encoding:\ngot  %+v\nwant %+v", message, message, want[i])
		}
	}
}
