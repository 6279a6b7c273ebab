package requesthead

// ChunkState is what is known of a chunked body from the bytes so far.
type ChunkState uint8

const (
	// ChunksArriving means that more bytes belong to the body.
	ChunksArriving ChunkState = iota
	// ChunksComplete means that the body has arrived to its end.
	ChunksComplete
	// ChunksUnknown means that the end cannot be found: the body is invalid, or has trailers.
	ChunksUnknown
)

// maxChunkDigits bounds the digits of a chunk's size, so that it fits into an int64.
const maxChunkDigits = 15

// chunkPart is the part of a chunked body that comes next.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataReturn
	chunkDataEnd
	bodyReturn
	bodyEnd
)

// Chunks finds the end of a chunked body that arrives in pieces. The zero value is at its start.
type Chunks struct {
	next   chunkPart
	digits int
	// size is the number of bytes of the present chunk that have not arrived.
	size int64
}

// Scan examines the next bytes of a body and returns how many of them belong to it. After a state other than
// ChunksArriving it must not be called again.
func (c *Chunks) Scan(data []byte) (used int, state ChunkState) {
	for used < len(data) {
		if c.next == chunkData {
			count := min(c.size, int64(len(data)-used))
			used += int(count)
			if c.size -= count; c.size == 0 {
				c.next = chunkDataReturn
			}
			continue
		}
		if state = c.advance(data[used]); state == ChunksUnknown {
			return len(data), state
		}
		used++
		if state == ChunksComplete {
			return used, state
		}
	}
	return used, ChunksArriving
}

// advance examines a byte that is not data.
func (c *Chunks) advance(next byte) ChunkState {
	switch c.next {
	case chunkSize:
		return c.advanceSize(next)
	case chunkExtension:
		if next == '\r' {
			c.next = chunkSizeEnd
			return ChunksArriving
		}
		return arrivingIf(next != '\n')
	case chunkSizeEnd:
		c.digits, c.next = 0, chunkData
		if c.size == 0 {
			c.next = bodyReturn
		}
		return arrivingIf(next == '\n')
	case chunkDataReturn:
		c.next = chunkDataEnd
		return arrivingIf(next == '\r')
	case chunkDataEnd:
		c.next = chunkSize
		return arrivingIf(next == '\n')
	case bodyReturn:
		c.next = bodyEnd
		return arrivingIf(next == '\r')
	default:
		if next == '\n' {
			return ChunksComplete
		}
		return ChunksUnknown
	}
}

// advanceSize examines a byte of the line with a chunk's size.
func (c *Chunks) advanceSize(next byte) ChunkState {
	digit := int64(0)
	switch {
	case '0' <= next && next <= '9':
		digit = int64(next - '0')
	case 'a' <= next && next <= 'f':
		digit = int64(next-'a') + 10
	case 'A' <= next && next <= 'F':
		digit = int64(next-'A') + 10
	case next == '\r':
		c.next = chunkSizeEnd
		return arrivingIf(c.digits > 0)
	default:
		c.next = chunkExtension
		return arrivingIf(c.digits > 0 && (next == ';' || next == ' ' || next == '\t'))
	}
	c.digits++
	c.size = c.size<<4 | digit
	return arrivingIf(c.digits <= maxChunkDigits)
}

func arrivingIf(valid bool) ChunkState {
	if valid {
		return ChunksArriving
	}
	return ChunksUnknown
}
