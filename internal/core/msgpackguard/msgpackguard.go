// Package msgpackguard validates an encoded msgpack value before it is decoded.
//
// The msgpack decoder allocates slices by the length declared in the input, and skips unknown values
// recursively. A few bytes from a faulty peer or a corrupt record could therefore exhaust the memory
// or the stack. Check rejects such input in one pass without allocations.
package msgpackguard

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is the maximum nesting depth of arrays and maps.
const MaxDepth = 64

// Errors returned by Check.
var (
	// ErrLength means that a value declares more elements or bytes than remain in the input.
	ErrLength = errors.New("msgpack: declared length exceeds the remaining input")
	// ErrDepth means that arrays and maps are nested deeper than MaxDepth.
	ErrDepth = errors.New("msgpack: arrays or maps nested too deeply")
	// ErrCode means that a type code is not valid.
	ErrCode = errors.New("msgpack: invalid type code")
)

// Check returns an error unless the data starts with a complete value whose declared lengths fit into
// the remaining bytes, with at least one byte per element. Bytes after the value are ignored.
func Check(data []byte) error {
	_, err := Count(data)
	return err
}

// Count returns the number of values within the data's first value, itself included, and the error of Check.
func Count(data []byte) (count int, err error) {
	s := scanner{rest: data}
	var remaining [MaxDepth]int // remaining elements of each enclosing container
	depth := 0
	for {
		elements, err := s.next()
		if err != nil {
			return count, err
		}
		count++
		if elements > 0 {
			if depth == MaxDepth {
				return count, ErrDepth
			}
			remaining[depth] = elements
			depth++
			continue
		}
		for depth > 0 {
			remaining[depth-1]--
			if remaining[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return count, nil
		}
	}
}

// scanner reads consecutive values; of a container it reads only the header.
type scanner struct{ rest []byte }

// next reads one value and returns the number of elements that follow it: those of an array, or the
// keys and values of a map.
func (s *scanner) next() (elements int, err error) {
	if len(s.rest) == 0 {
		return 0, ErrLength
	}
	code := s.rest[0]
	s.rest = s.rest[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return 0, nil
	case msgpcode.IsFixedMap(code):
		return s.checkedElements(2 * uint64(code&msgpcode.FixedMapMask))
	case msgpcode.IsFixedArray(code):
		return s.checkedElements(uint64(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(code):
		return 0, s.skip(uint64(code & msgpcode.FixedStrMask))
	default:
		return s.readFixedSize(code)
	}
}

// readFixedSize reads the rest of a value whose type code implies its size, or else that of a length-prefixed one.
func (s *scanner) readFixedSize(code byte) (elements int, err error) {
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return 0, s.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return 0, s.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 0, s.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 0, s.skip(8)
	case msgpcode.FixExt1, msgpcode.FixExt2, msgpcode.FixExt4, msgpcode.FixExt8, msgpcode.FixExt16:
		return 0, s.skip(extensionTypeBytes + 1<<(code-msgpcode.FixExt1))
	}
	return s.readLengthPrefixed(code)
}

// extensionTypeBytes is the size in bytes of an extension's type, which precedes its content.
const extensionTypeBytes = 1

// readLengthPrefixed reads the rest of a value whose type code is followed by its length.
func (s *scanner) readLengthPrefixed(code byte) (elements int, err error) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		return 0, s.skipLengthPrefixed(1, 0)
	case msgpcode.Str16, msgpcode.Bin16:
		return 0, s.skipLengthPrefixed(2, 0)
	case msgpcode.Str32, msgpcode.Bin32:
		return 0, s.skipLengthPrefixed(4, 0)
	case msgpcode.Ext8:
		return 0, s.skipLengthPrefixed(1, extensionTypeBytes)
	case msgpcode.Ext16:
		return 0, s.skipLengthPrefixed(2, extensionTypeBytes)
	case msgpcode.Ext32:
		return 0, s.skipLengthPrefixed(4, extensionTypeBytes)
	case msgpcode.Array16:
		return s.containerElements(2, 1)
	case msgpcode.Array32:
		return s.containerElements(4, 1)
	case msgpcode.Map16:
		return s.containerElements(2, 2)
	case msgpcode.Map32:
		return s.containerElements(4, 2)
	default:
		return 0, errors.Wrapf(ErrCode, "%#x", code)
	}
}

// length reads a big-endian length of 1, 2 or 4 bytes.
func (s *scanner) length(width int) (uint64, error) {
	if len(s.rest) < width {
		return 0, ErrLength
	}
	var number [8]byte
	copy(number[len(number)-width:], s.rest)
	s.rest = s.rest[width:]
	return binary.BigEndian.Uint64(number[:]), nil
}

func (s *scanner) skip(count uint64) error {
	if count > uint64(len(s.rest)) {
		return ErrLength
	}
	s.rest = s.rest[count:]
	return nil
}

func (s *scanner) skipLengthPrefixed(width int, extra uint64) error {
	length, err := s.length(width)
	if err != nil {
		return err
	}
	return s.skip(length + extra)
}

// containerElements reads the length of an array or a map, which has perEntry elements per entry.
func (s *scanner) containerElements(width int, perEntry uint64) (int, error) {
	length, err := s.length(width)
	if err != nil {
		return 0, err
	}
	return s.checkedElements(perEntry * length)
}

// checkedElements returns the number of elements; an error if fewer bytes remain.
func (s *scanner) checkedElements(count uint64) (int, error) {
	if count > uint64(len(s.rest)) {
		return 0, ErrLength
	}
	return int(count), nil
}
