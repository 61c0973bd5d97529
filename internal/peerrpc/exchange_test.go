package peerrpc

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"reflect"
	"testing"
)

// This file is compiled into the production version as well; see TestProductionMessages.

// emptyMessages lists the arguments and replies of all calls.
func emptyMessages() []any {
	return []any{&Claim{}, &Cancellation{}, &Query{}, &Answer{}, &ReportBatch{}, &BatchReply{}}
}

// setDistinctValues gives every field below a value one of its own that is not zero.
func setDistinctValues(t *testing.T, v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		for _, field := range v.Fields() {
			setDistinctValues(t, field, next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setDistinctValues(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			setDistinctValues(t, v.Index(i), next)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *next))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Bool:
		v.SetBool(true)
	default:
		t.Fatalf("no value for a field of type %v", v.Type())
	}
}

// filledMessages are all messages with every field set.
func filledMessages(t *testing.T) []any {
	messages := emptyMessages()
	next := 0
	for _, message := range messages {
		setDistinctValues(t, reflect.ValueOf(message).Elem(), &next)
	}
	return messages
}

// writeMessages encodes all messages, each as the first of a stream.
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

// checkMessages decodes what another version has encoded, and compares every field.
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
		t.Fatalf("%d messages, not %d", len(encoded), len(messages))
	}
	for i, message := range messages {
		if err := gob.NewDecoder(bytes.NewReader(encoded[i])).Decode(message); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(message, want[i]) {
			t.Errorf("message %T:\nread    %+v\nwritten %+v", message, message, want[i])
		}
	}
}
