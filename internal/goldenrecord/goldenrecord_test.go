package goldenrecord

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

type part struct {
	Names []string       `msgpack:"n"`
	Sizes map[string]int `msgpack:"s"`
}

type record struct {
	ID    int64   `msgpack:"i"`
	Raw   []byte  `msgpack:"r"`
	Parts []part  `msgpack:"p,omitempty"`
	Next  *part   `msgpack:"x,omitempty"`
	Share float64 `msgpack:"f"`
	Last  bool    `msgpack:"l"`
}

// Guards against fields that Fill leaves zero and nested fields that fieldsOf omits.
func TestFieldsOfCoversNestedFields(t *testing.T) {
	var filled record
	Fill(&filled)
	raw, err := msgpack.Marshal(&filled)
	assert.NilError(t, err)
	fields := fieldsOf(t, raw)
	types := make(map[string]string)
	for path, value := range fields {
		types[path] = wireType(value)
	}
	assert.DeepEqual(t, types, map[string]string{
		"": "map", "i": "integer", "r": "[]uint8", "f": "float64", "l": "bool",
		"p": "list", "p[]": "map", "p[].n": "list", "p[].n[]": "string", "p[].s": "map", "p[].s.key": "integer",
		"x": "map", "x.n": "list", "x.n[]": "string", "x.s": "map", "x.s.key": "integer",
	})
}

// Guards against new fields that are not listed in RecordType.Added.
func TestAddedToFindsNewFields(t *testing.T) {
	earlier := map[string]any{"": object, "i": int8(1), "p": list}
	current := map[string]any{"": object, "i": int8(1), "p": list, "p[]": int8(1), "z": object, "z.a": int8(1), "zz": int8(1)}
	assert.DeepEqual(t, addedTo(earlier, current), []string{"p[]", "z", "zz"})
}
