package config

import (
	"fmt"
	"reflect"

	"ambersill/internal/tuning"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps bounds a policy script's work, so that a loop cannot hold the start up.
const maxSteps = 1 << 20

// LoadPolicy runs a Starlark script whose global variables override the fields
// of Tuning by name. Names with an underscore in front, and functions, are the
// script's own.
func LoadPolicy(path string, t *tuning.Tuning) error {
	thread := &starlark.Thread{Name: "policy"}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}, thread, path, nil, nil)
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	v := reflect.ValueOf(t).Elem()
	for _, name := range globals.Keys() {
		if name[0] == '_' {
			continue
		}
		if _, ok := globals[name].(starlark.Callable); ok {
			continue
		}
		f := v.FieldByName(name)
		if !f.IsValid() {
			return fmt.Errorf("policy %s: %s: no such tunable", path, name)
		}
		x, ok := starlark.AsFloat(globals[name])
		if !ok || !(x >= 0 && x <= 1e6) {
			return fmt.Errorf("policy %s: %s: must be a number from 0 to 1000000", path, name)
		}
		switch f.Kind() {
		case reflect.Int:
			if x != float64(int64(x)) {
				return fmt.Errorf("policy %s: %s: must be a whole number", path, name)
			}
			f.SetInt(int64(x))
		default:
			if x == 0 {
				return fmt.Errorf("policy %s: %s: must be above 0", path, name)
			}
			f.SetFloat(x)
		}
	}
	return nil
}
