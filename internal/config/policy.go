package config

import (
	"fmt"
	"reflect"
	"strings"

	"ambersill/internal/tuning"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	// maxPolicySteps bounds a policy script's execution, so that a loop cannot block the
	// start.
	maxPolicySteps = 1 << 20
	// maxTunableValue is the largest value that a policy may set; none has a use for more.
	maxTunableValue = 1e6
	// privateVariablePrefix marks variables that are the script's own.
	privateVariablePrefix = "_"
)

// LoadPolicy runs a Starlark script whose global variables override the fields of Tuning by
// name. Functions, and names with a leading underscore, are the script's own.
func LoadPolicy(path string, tunables *tuning.Tuning) error {
	globals, err := runPolicy(path)
	if err != nil {
		return err
	}
	fields := reflect.ValueOf(tunables).Elem()
	for _, name := range globals.Keys() {
		value := globals[name]
		if _, isFunction := value.(starlark.Callable); isFunction || strings.HasPrefix(name, privateVariablePrefix) {
			continue
		}
		if problem := setTunable(fields.FieldByName(name), name, value); problem != nil {
			problem.File = path
			return problem
		}
	}
	return nil
}

func runPolicy(path string) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: "policy"}
	thread.SetMaxExecutionSteps(maxPolicySteps)
	options := &syntax.FileOptions{
		TopLevelControl: true,
		GlobalReassign:  true,
	}
	globals, err := starlark.ExecFileOptions(options, thread, path, nil, nil)
	if err != nil {
		return nil, fmt.Errorf("policy %s: %w", path, err)
	}
	return globals, nil
}

// setTunable sets a field to a value of the script. The field is invalid if there is none of
// the name. Integers may be 0, which stands for a default; other values may not.
func setTunable(field reflect.Value, name string, value starlark.Value) *Error {
	if !field.IsValid() {
		return newError(name, "no such tunable")
	}
	number, ok := starlark.AsFloat(value)
	if !ok || !(number >= 0 && number <= maxTunableValue) {
		return newError(name, "must be a number from 0 to %d", int(maxTunableValue))
	}
	if field.Kind() == reflect.Int {
		if number != float64(int64(number)) {
			return newError(name, "must be a whole number")
		}
		field.SetInt(int64(number))
		return nil
	}
	if number == 0 {
		return newError(name, "must be above 0")
	}
	field.SetFloat(number)
	return nil
}
