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
	// maxPolicySteps limits the execution steps of a policy script, so that an endless loop
	// cannot block the start of the controller.
	maxPolicySteps = 1 << 20
	// maxTunableValue is the largest value that a policy script may set. No tunable needs a
	// larger one.
	maxTunableValue = 1e6
	// privateVariablePrefix marks variables that are local to the script and set no tunable.
	privateVariablePrefix = "_"
)

// LoadPolicy runs a Starlark script and sets each field of tunables to the global variable of the
// same name. Functions and variables whose name starts with an underscore are ignored. It returns
// an *Error if a variable names no field or has an invalid value.
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
		return nil, fmt.Errorf("running policy script %s: %w", path, err)
	}
	return globals, nil
}

// setTunable sets a field of Tuning to a value of the script. field is the zero Value if Tuning has
// no field of that name. Integer fields may be set to 0, which selects a default; other fields must
// be above 0.
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
			return newError(name, "must be an integer")
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
