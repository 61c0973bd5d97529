package wire

import (
	"errors"
	"strings"
	"testing"
)

// decodeTest is a valid message, and the fields that it must have, each with the path to it: fields of
// the first element of a list are written as list/field.
type decodeTest struct {
	name     string
	fields   func() map[string]any
	target   func() any // returns an empty message
	required []string
}

var decodeTests = []decodeTest{
	{
		name:     "key",
		fields:   validKeyValue,
		target:   func() any { return &KeyValue{} },
		required: []string{"key", "value", "stamp"},
	},
	{
		name: "page of keys",
		fields: func() map[string]any {
			return map[string]any{"rows": []map[string]any{validKeyValue()}, "hasNext": false, "ledgerMark": 0}
		},
		target:   func() any { return &KeyValuePage{} },
		required: []string{"rows", "hasNext", "ledgerMark", "rows/key", "rows/value", "rows/stamp"},
	},
	{
		name:     "response to a transaction",
		fields:   func() map[string]any { return map[string]any{"ledgerMark": 0} },
		target:   func() any { return &TxnResponse{} },
		required: []string{"ledgerMark"},
	},
	{
		name:     "lease",
		fields:   func() map[string]any { return map[string]any{"hold": 7} },
		target:   func() any { return &LeaseResponse{} },
		required: []string{"hold"},
	},
	{
		name:     "watch with a put",
		fields:   func() map[string]any { return watchWith(map[string]any{"put": "a", "value": 1, "stamp": 2}) },
		target:   func() any { return &WatchResponse{} },
		required: []string{"ledgerMark", "news", "news/put", "news/value", "news/stamp"},
	},
	{
		name:     "watch with a deletion",
		fields:   func() map[string]any { return watchWith(map[string]any{"delete": "a", "stamp": 2}) },
		target:   func() any { return &WatchResponse{} },
		required: []string{"news/stamp"},
	},
	{
		name:   "catalog",
		fields: validCatalog,
		target: func() any { return &Catalog{} },
		required: []string{
			"breeds", "breeds/sku", "breeds/cores", "breeds/gpus", "breeds/ramGb", "breeds/localGb",
			"breeds/pullGbPerS", "breeds/hourly", "breeds/marketPrice", "breeds/bootS", "breeds/fields",
		},
	},
	{
		name:     "rented machines",
		fields:   func() map[string]any { return map[string]any{"hearths": []string{}} },
		target:   func() any { return &MachineIDs{} },
		required: []string{"hearths"},
	},
	{
		name:   "page of machines",
		fields: validMachinePage,
		target: func() any { return &MachinePage{} },
		required: []string{
			"hearths", "hasNext", "hearths/uid", "hearths/address", "hearths/breed", "hearths/field",
			"hearths/windfall", "hearths/phase", "hearths/ageS",
		},
	},
}

func validKeyValue() map[string]any { return map[string]any{"key": "a/b", "value": 1, "stamp": 412} }

func watchWith(event map[string]any) map[string]any {
	return map[string]any{"ledgerMark": 0, "news": []map[string]any{event}}
}

func validCatalog() map[string]any {
	return map[string]any{"breeds": []map[string]any{{
		"sku": "g8", "cores": 96, "gpus": 0, "ramGb": 768, "localGb": 0, "pullGbPerS": 1.0, "hourly": 0.0,
		"marketPrice": 0.0, "bootS": 0, "fields": []string{},
	}}}
}

func validMachinePage() map[string]any {
	return map[string]any{"hasNext": true, "hearths": []map[string]any{{
		"uid": "m-1", "address": "10.1.0.1:9000", "breed": "g8", "field": "a", "windfall": false, "phase": "running", "ageS": 0.0,
	}}}
}

// Guards against answers of the key-value store and the cloud that are read as "nothing" because a field
// is missing: no keys, no changes, no machines, no price, revision 0.
func TestAnswerWithoutRequiredFieldIsAnError(t *testing.T) {
	for _, test := range decodeTests {
		if err := Unmarshal(mustEncode(t, test.fields()), test.target()); err != nil {
			t.Errorf("%s with all fields: got error %v, want none", test.name, err)
		}
		for _, path := range test.required {
			test.checkWithout(t, path)
		}
	}
}

// checkWithout checks that the message is refused if a field is left out, null, or has its name in
// capitals.
func (test *decodeTest) checkWithout(t *testing.T, path string) {
	t.Helper()
	list, field, nested := strings.Cut(path, "/")
	for name, change := range incompleteVariants(path) {
		message := test.fields()
		part := message
		if nested {
			part = message[list].([]map[string]any)[0]
		}
		change(part)
		var missing *ValidationError
		err := Unmarshal(mustEncode(t, message), test.target())
		if !errors.As(err, &missing) || nested && missing.Field != field || !nested && missing.Field != path {
			t.Errorf("%s, %s %s: got error %v, want a ValidationError of it", test.name, path, name, err)
		}
	}
}

// incompleteVariants returns changes after which a map has not the field at the end of a path. A value
// of a key may be null.
func incompleteVariants(path string) map[string]func(fields map[string]any) {
	field := path[strings.LastIndex(path, "/")+1:]
	variants := map[string]func(fields map[string]any){
		"left out": func(fields map[string]any) { delete(fields, field) },
		"null":     func(fields map[string]any) { fields[field] = nil },
		"in capitals": func(fields map[string]any) {
			fields[strings.ToUpper(field)] = fields[field]
			delete(fields, field)
		},
	}
	if field == "value" {
		delete(variants, "null")
	}
	return variants
}
