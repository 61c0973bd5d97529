package wire

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func validJob() map[string]any {
	return map[string]any{
		"uid":       "req-000412",
		"lane":      "train",
		"crew":      "vision",
		"shape":     "ensemble",
		"rank":      "urgent",
		"pieces":    16,
		"cores":     8.0,
		"gpus":      1.0,
		"ramGb":     64.0,
		"pattern":   "img-07",
		"imageGb":   6.2,
		"breeds":    []string{"g8"},
		"field":     nil,
		"samePlace": true,
		"spread":    false,
		"windfall":  true,
		"guessS":    240.0,
		"stitchS":   30.0,
		"bankS":     4.0,
		"dueS":      900.0,
		"later":     1, // unknown fields are ignored
	}
}

// A rejected submission is not retried, so a valid one must never be rejected.
func TestParseJob(t *testing.T) {
	for name, change := range map[string]func(m map[string]any){
		"good":              func(map[string]any) {},
		"good: integers":    func(m map[string]any) { m["cores"], m["dueS"] = 8, 900 },
		"good: null":        func(m map[string]any) { m["breeds"], m["dueS"] = nil, nil },
		"good: left out":    func(m map[string]any) { delete(m, "breeds"); delete(m, "field"); delete(m, "dueS") },
		"missing cores":     func(m map[string]any) { delete(m, "cores") },
		"null priority":     func(m map[string]any) { m["rank"] = nil },
		"bad ID":            func(m map[string]any) { m["uid"] = "412" },
		"slash in ID":       func(m map[string]any) { m["uid"] = "req-1/2" },
		"no tasks":          func(m map[string]any) { m["pieces"] = 0 },
		"too many tasks":    func(m map[string]any) { m["pieces"] = 100001 },
		"fractional tasks":  func(m map[string]any) { m["pieces"] = 1.5 },
		"negative amount":   func(m map[string]any) { m["gpus"] = -1.0 },
		"text for a number": func(m map[string]any) { m["ramGb"] = "64" },
		"unknown priority":  func(m map[string]any) { m["rank"] = "high" },
		"unknown shape":     func(m map[string]any) { m["shape"] = "pair" },
		"good: service":     func(m map[string]any) { m["shape"], m["guessS"] = "service", 0.0 },
		"service that ends": func(m map[string]any) { m["shape"] = "service" },
		"no machine types":  func(m map[string]any) { m["breeds"] = []string{} },
		"zero deadline":     func(m map[string]any) { m["dueS"] = 0.0 },
		"overlong name":     func(m map[string]any) { m["pattern"] = strings.Repeat("x", 5000) },
	} {
		m := validJob()
		change(m)
		b, err := Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseJob(b); (err == nil) != strings.HasPrefix(name, "good") {
			t.Errorf("parsing a job, case %q: got error %v, want one unless the name starts with good", name, err)
		}
	}
	for _, b := range [][]byte{nil, {0xff}, []byte("{}"), {0x80}, {0x01}} {
		if _, err := ParseJob(b); err == nil {
			t.Errorf("parsing %x: got a job, want an error", b)
		}
	}
}

func TestParseJobNamesTheInvalidField(t *testing.T) {
	for _, test := range []struct {
		field string
		value any
	}{
		{"uid", "412"},
		{"lane", ""},
		{"crew", strings.Repeat("x", maxNameBytes+1)},
		{"shape", "pair"},
		{"rank", "high"},
		{"pieces", 0},
		{"cores", math.NaN()},
		{"gpus", -1.0},
		{"ramGb", math.Inf(1)},
		{"guessS", nil},
		{"stitchS", maxAmount * 2},
		{"breeds", []string{""}},
		{"field", ""},
		{"dueS", 0.0},
	} {
		job := validJob()
		job[test.field] = test.value
		body, err := Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseJob(body)
		var invalid *ValidationError
		if !errors.As(err, &invalid) || invalid.Field != test.field {
			t.Errorf("field %s set to %v: got error %v, want a ValidationError of this field", test.field, test.value, err)
		}
	}
}

func TestReadResponseLimitsSize(t *testing.T) {
	var message any
	err := ReadResponse(strings.NewReader(strings.Repeat("x", maxResponseBytes+1)), &message)
	var tooLarge *ResponseTooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.LimitBytes != maxResponseBytes {
		t.Fatal(err)
	}
}

func FuzzParseJob(f *testing.F) {
	b, err := Marshal(validJob())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		j, err := ParseJob(b)
		if err == nil && (!ValidJobID(j.ID) || j.TaskCount < 1 || j.TaskCount > maxTasks || j.Priority.Value() < 0) {
			t.Fatalf("parsing returned an invalid job: %+v", j)
		}
	})
}

func TestParseTaskName(t *testing.T) {
	if id, i, ok := ParseTaskName(TaskName("req-7", 42)); id != "req-7" || i != 42 || !ok {
		t.Fatal(id, i, ok)
	}
	for _, n := range []string{"", "req-7", "req-7/", "req-7/x", "req-7/-1", "req-7/100000"} {
		if _, _, ok := ParseTaskName(n); ok {
			t.Errorf("parsing task name %q: got success, want failure", n)
		}
	}
}
