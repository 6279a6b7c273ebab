// Package msgpackguard checks an encoded msgpack value before it is decoded.
//
// The decoder in use allocates a slice by the length that the input claims, and
// skips unknown values by recursion. A few bytes from a faulty peer or a
// damaged record could so take all memory, or all of the stack. Check refuses
// such input by reading it once, without allocation.
package msgpackguard

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is how deep arrays and maps may be nested.
const MaxDepth = 64

// Errors of Check.
var (
	// ErrLength: a value claims more elements or bytes than the input holds.
	ErrLength = errors.New("msgpack: claimed length is over the remaining bytes")
	// ErrDepth: arrays and maps are nested deeper than MaxDepth.
	ErrDepth = errors.New("msgpack: nested too deep")
	// ErrCode: a byte that begins no value.
	ErrCode = errors.New("msgpack: unknown code")
)

// Check reports whether the first value of the data is whole: each claimed
// length fits into the bytes that remain, at one byte for an element at least.
// Bytes after the value are not looked at.
func Check(data []byte) error {
	s := scanner{rest: data}
	var open [MaxDepth]int // elements still to be read, for each container around
	depth := 0
	for {
		elements, err := s.next()
		if err != nil {
			return err
		}
		if elements > 0 {
			if depth == MaxDepth {
				return ErrDepth
			}
			open[depth] = elements
			depth++
			continue
		}
		for depth > 0 {
			open[depth-1]--
			if open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// scanner reads values one after another; a container counts as its header.
type scanner struct{ rest []byte }

// next reads one value and returns the number of elements that it begins: of
// an array, or keys and values of a map.
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
		return s.elements(2 * uint64(code&msgpcode.FixedMapMask))
	case msgpcode.IsFixedArray(code):
		return s.elements(uint64(code & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedString(code):
		return 0, s.skip(uint64(code & msgpcode.FixedStrMask))
	default:
		return s.sized(code)
	}
}

// sized reads the rest of a value whose code stands for a size of its own.
func (s *scanner) sized(code byte) (elements int, err error) {
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
		return 0, s.skip(extensionType + 1<<(code-msgpcode.FixExt1))
	}
	return s.claimed(code)
}

// extensionType is the byte before an extension's content.
const extensionType = 1

// claimed reads the rest of a value that is preceded by its length.
func (s *scanner) claimed(code byte) (elements int, err error) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		return 0, s.skipClaimed(1, 0)
	case msgpcode.Str16, msgpcode.Bin16:
		return 0, s.skipClaimed(2, 0)
	case msgpcode.Str32, msgpcode.Bin32:
		return 0, s.skipClaimed(4, 0)
	case msgpcode.Ext8:
		return 0, s.skipClaimed(1, extensionType)
	case msgpcode.Ext16:
		return 0, s.skipClaimed(2, extensionType)
	case msgpcode.Ext32:
		return 0, s.skipClaimed(4, extensionType)
	case msgpcode.Array16:
		return s.claimedElements(2, 1)
	case msgpcode.Array32:
		return s.claimedElements(4, 1)
	case msgpcode.Map16:
		return s.claimedElements(2, 2)
	case msgpcode.Map32:
		return s.claimedElements(4, 2)
	default:
		return 0, errors.Wrapf(ErrCode, "%#x", code)
	}
}

// length reads a big-endian number of 1, 2 or 4 bytes.
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

func (s *scanner) skipClaimed(width int, extra uint64) error {
	length, err := s.length(width)
	if err != nil {
		return err
	}
	return s.skip(length + extra)
}

func (s *scanner) claimedElements(width int, each uint64) (int, error) {
	length, err := s.length(width)
	if err != nil {
		return 0, err
	}
	return s.elements(each * length)
}

func (s *scanner) elements(count uint64) (int, error) {
	if count > uint64(len(s.rest)) {
		return 0, ErrLength
	}
	return int(count), nil
}
