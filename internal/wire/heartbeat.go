package wire

import "fmt"

// heartbeatFields has those fields of a heartbeat as pointers of which a missing one could not be
// distinguished from a valid zero value.
type heartbeatFields struct {
	Heartbeat
	Spot         *bool   `cbor:"windfall"`
	Sequence     *uint64 `cbor:"tally"`
	FencingToken *uint64 `cbor:"mandate"`
}

// DecodeMessage decodes a heartbeat. It returns a *ValidationError if a field is missing that the
// protocol does not allow to be null. A heartbeat without its list of tasks, for example, must not
// count as that of a machine without tasks.
func (h *Heartbeat) DecodeMessage(encoded []byte) error {
	var fields heartbeatFields
	if err := DecodeFields(encoded, &fields); err != nil {
		return err
	}
	if err := CheckRequired(
		RequiredField{Name: "windfall", Present: fields.Spot != nil},
		RequiredField{Name: "tally", Present: fields.Sequence != nil},
		RequiredField{Name: "mandate", Present: fields.FencingToken != nil},
		RequiredField{Name: "pieces", Present: fields.Tasks != nil},
	); err != nil {
		return err
	}
	*h = fields.Heartbeat
	h.Spot, h.Sequence, h.FencingToken = *fields.Spot, *fields.Sequence, *fields.FencingToken
	return h.Validate()
}

// Validate returns a *ValidationError if a field has its zero value that no heartbeat may have.
func (h *Heartbeat) Validate() error {
	if err := CheckRequired(
		RequiredField{Name: "hearth", Present: h.Machine != ""},
		RequiredField{Name: "address", Present: h.Address != ""},
		RequiredField{Name: "breed", Present: h.MachineType != ""},
		RequiredField{Name: "field", Present: h.Zone != ""},
		RequiredField{Name: "tenure", Present: h.Incarnation != 0},
	); err != nil {
		return err
	}
	for i := range h.Tasks {
		if missing := h.Tasks[i].missingField(); missing != "" {
			return newValidationError(fmt.Sprintf("pieces[%d].%s", i, missing), "missing")
		}
	}
	return nil
}

// missingField returns the name of a required field that has its zero value, or "" if none has.
func (s *TaskStatus) missingField() string {
	switch {
	case s.Task == "":
		return "piece"
	case s.Attempt == 0:
		return "try"
	case s.State == "":
		return "phase"
	case s.State == TaskExited && s.ExitCause == "":
		return "cause"
	}
	return ""
}
