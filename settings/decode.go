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

// decoder assigns decoded TOML values to the settings and collects all errors. The
// decoder of the TOML library stops at the first value of a wrong type.
type decoder struct {
	errs ErrorList
}

// decode parses text and assigns its values to s. A syntax error is returned alone.
func decode(text []byte, s *Settings) ErrorList {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return ErrorList{syntaxError(err)}
	}
	var d decoder
	d.decodeTable("", document, reflect.ValueOf(s).Elem())
	return d.errs
}

func syntaxError(err error) *Error {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		return &Error{Expected: fmt.Sprintf("valid TOML: line %d, column %d: %s", line, column, decodeErr.Error())}
	}
	return &Error{Expected: "valid TOML: " + err.Error()}
}

// decodeTable assigns the keys of a table to the fields of a struct.
func (d *decoder) decodeTable(path string, table map[string]any, target reflect.Value) {
	fields := fieldsByKey(target.Type())
	for _, key := range slices.Sorted(maps.Keys(table)) {
		index, known := fields[key]
		if !known {
			d.addError(joinPath(path, key), "", "one of the known keys "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.decodeValue(joinPath(path, key), table[key], target.Field(index))
	}
}

// fieldsByKey maps the TOML keys of a struct to field indexes.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("toml")] = i
	}
	return fields
}

// joinPath appends a key to a path. A key that is not a TOML bare key is quoted.
func joinPath(path, key string) string {
	for _, c := range key {
		if c != '_' && c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			key = strconv.Quote(truncate(key))
			break
		}
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// decodeValue assigns a value to a field or an array element.
func (d *decoder) decodeValue(path string, value any, target reflect.Value) {
	if unmarshaler, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, value, unmarshaler)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			d.decodeTable(path, table, target)
			return
		}
		d.addTypeError(path, value, "a table")
	case reflect.Slice:
		if list, ok := value.([]any); ok {
			d.decodeArray(path, list, target)
			return
		}
		d.addTypeError(path, value, "an array")
	case reflect.String:
		if text, ok := value.(string); ok {
			target.SetString(text)
			return
		}
		d.addTypeError(path, value, "a string")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			target.SetBool(b)
			return
		}
		d.addTypeError(path, value, "true or false")
	case reflect.Int:
		if number, ok := value.(int64); ok {
			target.SetInt(number)
			return
		}
		d.addTypeError(path, value, "a whole number")
	default:
		panic("settings: field of unsupported type " + target.Type().String())
	}
}

// decodeArray assigns the elements of an array. An empty array is equivalent to a
// missing key.
func (d *decoder) decodeArray(path string, list []any, target reflect.Value) {
	if len(list) == 0 {
		target.SetZero()
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
	for i, element := range list {
		d.decodeValue(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

// decodeText assigns a value that is encoded as a string. A ByteSize may also be an
// integer.
func (d *decoder) decodeText(path string, value any, target encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if number, isNumber := value.(int64); isNumber {
		if _, isSize := target.(*ByteSize); isSize {
			text, ok = strconv.FormatInt(number, 10), true
		}
	}
	if !ok {
		// Integers are valid only for ByteSize, because a duration requires a unit. The
		// error of an empty text states the expected form.
		d.addTextError(path, fmt.Sprint(value), target.UnmarshalText(nil), target)
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.addTextError(path, text, err, target)
	}
}

// addTextError records an error of a text value. The value of a digest is omitted,
// because it may be a plaintext token entered by mistake.
func (d *decoder) addTextError(path, text string, err error, target encoding.TextUnmarshaler) {
	if _, secret := target.(*Digest); secret {
		text = ""
	}
	d.addError(path, text, err.Error())
}

func (d *decoder) addTypeError(path string, value any, expected string) {
	d.addError(path, fmt.Sprint(value), expected)
}

func (d *decoder) addError(path, value, expected string) {
	d.errs = append(d.errs, &Error{Key: path, Value: truncate(value), Expected: expected})
}
