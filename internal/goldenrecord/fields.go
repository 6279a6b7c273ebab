package goldenrecord

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

const (
	// pathSeparator separates the field names of a path.
	pathSeparator = "."
	// elementSuffix after the path of a list denotes its elements.
	elementSuffix = "[]"
)

// container is the value recorded for a map or a list.
type container string

const (
	object container = "map"
	list   container = "list"
)

// fieldsOf decodes a record and returns its fields by path, including nested ones.
func fieldsOf(t *testing.T, raw []byte) map[string]any {
	t.Helper()
	var decoded any
	assert.NilError(t, msgpack.Unmarshal(raw, &decoded))
	fields := make(map[string]any)
	collect(fields, "", decoded)
	return fields
}

func collect(fields map[string]any, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		fields[path] = object
		for name, element := range value {
			collect(fields, strings.TrimPrefix(path+pathSeparator+name, pathSeparator), element)
		}
	case []any:
		fields[path] = list
		for _, element := range value {
			collect(fields, path+elementSuffix, element)
		}
	default:
		fields[path] = value
	}
}

// wireType returns the encoded type of a field; all sizes of integers are one type.
func wireType(value any) string {
	if container, ok := value.(container); ok {
		return string(container)
	}
	switch reflect.ValueOf(value).Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "integer"
	default:
		return fmt.Sprintf("%T", value)
	}
}

// newRecord returns a pointer to a zero value of the type that record points to.
func newRecord(record any) any { return reflect.New(reflect.TypeOf(record).Elem()).Interface() }

// Fill sets all exported fields of the struct that record points to: scalars to distinct non-zero values, except that
// booleans are true, and slices and maps to one element.
func Fill(record any) {
	next := 0
	fill(reflect.ValueOf(record).Elem(), &next)
}

func fill(value reflect.Value, next *int) {
	switch value.Kind() {
	case reflect.Struct:
		for _, field := range reflect.VisibleFields(value.Type()) {
			if field.IsExported() {
				fill(value.FieldByIndex(field.Index), next)
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), next)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), next)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		key.SetString("key")
		fill(element, next)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	default:
		*next++
		fillScalar(value, *next)
	}
}

func fillScalar(value reflect.Value, number int) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString("s" + strconv.Itoa(number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) + 0.5)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(number))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(number))
	default:
		panic("no value for a field of type " + value.Type().String())
	}
}
