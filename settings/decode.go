package settings

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// decoder assigns decoded TOML tables to the settings. The decoder of the TOML
// library stops at the first value of a wrong type; this one collects all errors.
type decoder struct {
	errs ErrorList
}

// decode assigns the settings in the text. A syntax error ends it.
func decode(text []byte, s *Settings) ErrorList {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return ErrorList{syntaxError(err)}
	}
	var d decoder
	d.table("", document, reflect.ValueOf(s).Elem())
	return d.errs
}

func syntaxError(err error) *Error {
	var at *toml.DecodeError
	if errors.As(err, &at) {
		line, column := at.Position()
		return &Error{Expected: fmt.Sprintf("valid TOML: line %d, column %d: %s", line, column, at.Error())}
	}
	return &Error{Expected: "valid TOML: " + err.Error()}
}

// table assigns the keys of a table to the fields of a struct.
func (d *decoder) table(path string, table map[string]any, target reflect.Value) {
	fields := fieldsByKey(target.Type())
	for _, key := range slices.Sorted(maps.Keys(table)) {
		index, known := fields[key]
		if !known {
			d.fail(join(path, key), "", "one of the known keys "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.value(join(path, key), table[key], target.Field(index))
	}
}

// fieldsByKey returns the indexes of the fields of a struct by their TOML key.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("toml")] = i
	}
	return fields
}

// join appends a key to a path and quotes a key that is not a bare key.
func join(path, key string) string {
	for _, c := range key {
		if c != '_' && c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			key = strconv.Quote(shorten(key))
			break
		}
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// value assigns one value.
func (d *decoder) value(path string, value any, target reflect.Value) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, value, unmarshaler)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			d.table(path, table, target)
			return
		}
		d.failType(path, value, "a table")
	case reflect.Slice:
		if list, ok := value.([]any); ok {
			d.list(path, list, target)
			return
		}
		d.failType(path, value, "an array")
	case reflect.String:
		if text, ok := value.(string); ok {
			target.SetString(text)
			return
		}
		d.failType(path, value, "a string")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			target.SetBool(b)
			return
		}
		d.failType(path, value, "true or false")
	case reflect.Int:
		if number, ok := value.(int64); ok {
			target.SetInt(number)
			return
		}
		d.failType(path, value, "a whole number")
	default:
		panic("settings: field of unsupported type " + target.Type().String())
	}
}

// list assigns the elements of an array. An empty array is the same as none.
func (d *decoder) list(path string, list []any, target reflect.Value) {
	if len(list) == 0 {
		target.SetZero()
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
	for i, element := range list {
		d.value(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

// text assigns a value that is written as a string. A size may also be a number.
func (d *decoder) text(path string, value any, target encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if number, isNumber := value.(int64); isNumber {
		if _, isSize := target.(*ByteSize); isSize {
			text, ok = strconv.FormatInt(number, 10), true
		}
	}
	if !ok {
		// A number without unit is no duration; other types are no text at all.
		d.failText(path, fmt.Sprint(value), target.UnmarshalText(nil), target)
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.failText(path, text, err, target)
	}
}

// failText records an error of a text value. A digest is not shown, because it
// may be a token in clear by mistake.
func (d *decoder) failText(path, text string, err error, target encoding.TextUnmarshaler) {
	if _, secret := target.(*Digest); secret {
		text = ""
	}
	d.fail(path, text, err.Error())
}

func (d *decoder) failType(path string, value any, expected string) {
	d.fail(path, fmt.Sprint(value), expected)
}

func (d *decoder) fail(path, value, expected string) {
	d.errs = append(d.errs, &Error{Key: path, Value: shorten(value), Expected: expected})
}
