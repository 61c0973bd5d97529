package wire

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

// validHeartbeat returns the fields of a heartbeat with a task in each state that the checks
// distinguish.
func validHeartbeat() map[string]any {
	return map[string]any{
		"hearth": "m-000231", "address": "10.1.0.232:9000", "breed": "g8", "field": "a", "windfall": false,
		"tenure": 1, "tally": 0, "mandate": 0, "warningS": nil,
		"pieces": []map[string]any{
			{"piece": "req-000412/3", "try": 2, "phase": "running"},
			{"piece": "req-000398/0", "try": 1, "phase": "ended", "cause": "done", "stored": true},
		},
	}
}

// Guards against heartbeats that are read as those of a machine without tasks, of no session or of no token,
// because a field is missing.
func TestHeartbeatWithoutRequiredFieldIsRefused(t *testing.T) {
	for _, field := range []string{"hearth", "address", "breed", "field", "windfall", "tenure", "tally", "mandate", "pieces"} {
		checkIncompleteHeartbeats(t, field, func(heartbeat map[string]any) map[string]any { return heartbeat })
	}
	for _, field := range []string{"piece", "try", "phase", "cause"} {
		checkIncompleteHeartbeats(t, field, func(heartbeat map[string]any) map[string]any {
			return heartbeat["pieces"].([]map[string]any)[1]
		})
	}
}

// checkIncompleteHeartbeats checks that heartbeats are refused that lack a field, have it as null, or have
// its name in capitals. part returns the part of a heartbeat that has the field.
func checkIncompleteHeartbeats(t *testing.T, field string, part func(heartbeat map[string]any) map[string]any) {
	t.Helper()
	for name, change := range incompleteVariants(field) {
		message := validHeartbeat()
		change(part(message))
		var heartbeat Heartbeat
		err := Unmarshal(mustEncode(t, message), &heartbeat)
		var missing *ValidationError
		if !errors.As(err, &missing) || !strings.HasSuffix(missing.Field, field) {
			t.Errorf("%s %s: got error %v, want a ValidationError of it", field, name, err)
		}
	}
}

// A worker of another version may leave out what may be null, and may have fields that are not known.
func TestHeartbeatWithoutOptionalFieldsIsAccepted(t *testing.T) {
	want := Heartbeat{
		Machine: "m-000231", Address: "10.1.0.232:9000", MachineType: "g8", Zone: "a", Incarnation: 1,
		Tasks: []TaskStatus{
			{Task: "req-000412/3", Attempt: 2, State: TaskRunning},
			{Task: "req-000398/0", Attempt: 1, State: TaskExited, ExitCause: ExitDone},
		},
	}
	message := validHeartbeat()
	delete(message, "warningS")
	delete(message["pieces"].([]map[string]any)[1], "stored")
	message["Tenure"], message["later"] = 7, map[string]any{"a": 1}
	message["pieces"].([]map[string]any)[0]["later"] = "x"
	var got Heartbeat
	if err := Unmarshal(mustEncode(t, message), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("heartbeat without optional fields: got %+v, error %v, want %+v", got, err, want)
	}
}

// Each value of a heartbeat is decoded into its own field.
func TestHeartbeatRoundTrip(t *testing.T) {
	notice := 12.5
	want := Heartbeat{
		Machine: "m-1", Address: "10.1.0.1:9000", MachineType: "g8", Zone: "b", Spot: true, Incarnation: 2,
		Sequence: 88, FencingToken: 41, TerminationNoticeS: &notice, Tasks: []TaskStatus{},
	}
	var got Heartbeat
	if err := Unmarshal(mustEncode(t, want), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("heartbeat: got %+v, error %v, want %+v", got, err, want)
	}
}
