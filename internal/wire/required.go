package wire

// messageDecoder is implemented by messages and records that have required fields.
type messageDecoder interface {
	// DecodeMessage decodes the message with DecodeFields, and returns a *ValidationError if a
	// required field is missing.
	DecodeMessage(encoded []byte) error
}

// RequiredField is a field that must be present in a message.
type RequiredField struct {
	Name    string // name of the field in the message
	Present bool
}

// CheckRequired returns a *ValidationError that names the first field that is not present, or nil if
// all are.
func CheckRequired(fields ...RequiredField) error {
	for _, field := range fields {
		if !field.Present {
			return newValidationError(field.Name, "missing")
		}
	}
	return nil
}
