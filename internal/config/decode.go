package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// IgnoredKey is a key of the settings file that is ignored although its name differs from that of a
// setting only in case.
type IgnoredKey struct {
	Key     string // as it is written in the file, with the names of its tables
	Setting string // name of the setting, with the names of its tables
}

// keySeparator separates the names of tables and keys.
const keySeparator = "."

// tableDecoder decodes the tables of a settings file into structs. It compares names exactly, whereas
// the library takes a name that differs from a field's only in case for the field's, and one of the two
// by chance if both are there.
type tableDecoder struct {
	metaData toml.MetaData
	ignored  []IgnoredKey
}

// table has the keys of a TOML table, and the values, which are not decoded yet.
type table map[string]toml.Primitive

// decodeSettings decodes a settings file. It returns an *Error that names the key if a value has the
// wrong type.
func decodeSettings(text string) (*Settings, error) {
	var root table
	metaData, err := toml.Decode(text, &root)
	if err != nil {
		return nil, err
	}
	decoder := tableDecoder{metaData: metaData}
	settings := &Settings{}
	if problem := decoder.decodeTable(root, reflect.ValueOf(settings).Elem(), ""); problem != nil {
		return nil, problem
	}
	settings.IgnoredKeys = decoder.ignored
	return settings, nil
}

// decodeTable sets each field of a struct whose name is in the table. prefix is the name of the table,
// with a separator after it unless it is the root.
func (d *tableDecoder) decodeTable(values table, target reflect.Value, prefix string) *Error {
	settings := fieldsByName(target)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		field, ok := settings[name]
		if !ok {
			d.recordIfNear(name, settings, prefix)
			continue
		}
		if problem := d.decodeValue(values[name], field, prefix+name); problem != nil {
			return problem
		}
	}
	return nil
}

// fieldsByName returns the fields of a struct and of the structs embedded in it, by the names of their
// settings.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for field, value := range target.Fields() {
		if field.Anonymous {
			maps.Copy(fields, fieldsByName(value))
			continue
		}
		if name := field.Tag.Get("toml"); name != "-" {
			fields[name] = value
		}
	}
	return fields
}

// recordIfNear records a key that is ignored if its name is that of a setting in another case.
func (d *tableDecoder) recordIfNear(name string, settings map[string]reflect.Value, prefix string) {
	for _, setting := range slices.Sorted(maps.Keys(settings)) {
		if strings.EqualFold(name, setting) {
			d.ignored = append(d.ignored, IgnoredKey{Key: prefix + name, Setting: prefix + setting})
		}
	}
}

// decodeValue decodes the value of a key into a field.
func (d *tableDecoder) decodeValue(value toml.Primitive, target reflect.Value, key string) *Error {
	switch {
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		return d.decodeValue(value, target.Elem(), key)
	case target.Kind() == reflect.Struct:
		var values table
		if problem := d.decodePrimitive(value, &values, key); problem != nil {
			return problem
		}
		return d.decodeTable(values, target, key+keySeparator)
	case target.Kind() == reflect.Slice && target.Type().Elem().Kind() == reflect.Struct:
		return d.decodeTables(value, target, key)
	}
	return d.decodePrimitive(value, target.Addr().Interface(), key)
}

// decodeTables decodes an array of tables into a slice of structs.
func (d *tableDecoder) decodeTables(value toml.Primitive, target reflect.Value, key string) *Error {
	var tables []table
	if problem := d.decodePrimitive(value, &tables, key); problem != nil {
		return problem
	}
	target.Set(reflect.MakeSlice(target.Type(), len(tables), len(tables)))
	for i, values := range tables {
		prefix := fmt.Sprintf("%s[%d]%s", key, i, keySeparator)
		if problem := d.decodeTable(values, target.Index(i), prefix); problem != nil {
			return problem
		}
	}
	return nil
}

func (d *tableDecoder) decodePrimitive(value toml.Primitive, target any, key string) *Error {
	if err := d.metaData.PrimitiveDecode(value, target); err != nil {
		return newError(key, "%v", err)
	}
	return nil
}
