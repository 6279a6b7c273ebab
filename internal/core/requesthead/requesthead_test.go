package requesthead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const limit = 1000

// scan scans a header that arrives in pieces of the given size.
func scan(header string, piece int) (end int, state State) {
	var scanner Scanner
	for size := piece; ; size += piece {
		end, state = scanner.Scan([]byte(header[:min(size, len(header))]), limit)
		if state != Incomplete || size >= len(header) {
			return end, state
		}
	}
}

func TestScanFindsEndOfHeader(t *testing.T) {
	cases := []struct {
		name, header string
		end          int
		state        State
	}{
		{"complete", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27, Complete},
		{"with a body", "POST / HTTP/1.1\r\n\r\nbody\r\n\r\n", 19, Complete},
		{"line feeds only", "GET / HTTP/1.1\nHost: h\n\nrest", 24, Complete},
		{"incomplete", "GET / HTTP/1.1\r\nHost: h\r\n", 0, Incomplete},
		{"blank line that continues another", "GET / HTTP/1.1\r\na: b\r\n \r\n", 0, Incomplete},
		{"carriage return in a line", "GET / HTTP/1.1\r\n\r\r\n", 0, Incomplete},
		{"empty line first", "\r\nGET", 2, Complete},
		{"at the limit", "GET / HTTP/1.1\r\na:" + strings.Repeat("x", limit-22) + "\r\n\r\n", limit, Complete},
		{"above the limit", "GET / HTTP/1.1\r\na:" + strings.Repeat("x", limit-21) + "\r\n\r\n", 0, TooLarge},
		{"line without end", strings.Repeat("x", limit+1), 0, TooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 3, 7, len(test.header)} {
				end, state := scan(test.header, piece)
				assert.Equal(t, state, test.state, "pieces of %d", piece)
				assert.Equal(t, end, test.end, "pieces of %d", piece)
			}
		})
	}
}

func TestFramingOf(t *testing.T) {
	cases := map[string]Framing{
		"GET / HTTP/1.1\r\n\r\n":                                                       {},
		"POST / HTTP/1.1\r\nCONTENT-length:  12 \r\n\r\n":                              {Length: 12},
		"POST / HTTP/1.1\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n":  {Chunked: true},
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                  {Endless: true},
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                {Endless: true},
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n":           {Endless: true},
		"POST /a:b HTTP/1.1\r\nX-Content-Length: 5\r\nContent-Length-Extra: 6\r\n\r\n": {},
	}
	for header, expected := range cases {
		assert.Equal(t, FramingOf([]byte(header)), expected, "%q", header)
	}
}

// The cost must grow with the lines, not only with the bytes.
func TestCostGrowsWithLines(t *testing.T) {
	cost := func(header string) int64 {
		var scanner Scanner
		_, state := scanner.Scan([]byte(header), 1<<20)
		assert.Equal(t, state, Complete)
		return scanner.Cost()
	}
	short := cost("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n")
	long := cost("GET / HTTP/1.1\r\na:" + strings.Repeat("x", 16_000) + "\r\n\r\n")
	assert.Assert(t, short > 10*long, "%d, %d", short, long)
}

// FuzzScanAgreesWithDecoder checks that the scanner ends a header where net/http does, and delimits its body as it does: a
// disagreement would take bytes of one request for another one.
func FuzzScanAgreesWithDecoder(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\na: b\r\n c\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nHost: h\r\n\r\r\nContent-Length: 3\r\n\r\nabcd",
		"\r\nGET / HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var scanner Scanner
		end, state := scanner.Scan(data, len(data))
		source := bufio.NewReaderSize(bytes.NewReader(data), len(data)+16)
		request, err := http.ReadRequest(source)
		if err != nil {
			return
		}
		assert.Equal(t, state, Complete, "net/http has decoded %q", data)
		rest, err := io.ReadAll(source)
		assert.NilError(t, err)
		framing := FramingOf(data[:end])
		assert.Equal(t, len(data)-len(rest), end)
		if !framing.Endless {
			assert.Equal(t, framing.Length, max(0, request.ContentLength))
			assert.Equal(t, len(request.TransferEncoding) > 0, framing.Chunked)
		}
	})
}

// FuzzChunksAgreeWithDecoder checks that the scanner ends a chunked body where net/http does, however it is cut.
func FuzzChunksAgreeWithDecoder(f *testing.F) {
	for _, seed := range []string{
		"3\r\nabc\r\n0\r\n\r\nGET /", "0\r\n\r\n", "A;x=y\r\n0123456789\r\n00\r\n\r\nrest", "1\r\na\r\n0\r\nT: t\r\n\r\n",
		"1\na\n0\n\n", "1 \r\na\r\n0\r\n\r\n", "\r\n", "0\r\r\n\r\n", "fffffffffffffffff\r\n", "1\r\nab\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), 1)
		f.Add([]byte(seed), 4)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if piece < 1 {
			return
		}
		source := bufio.NewReaderSize(io.MultiReader(
			strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(data),
		), len(data)+4096)
		request, err := http.ReadRequest(source)
		assert.NilError(t, err)
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		rest, err := io.ReadAll(source)
		assert.NilError(t, err)
		var chunks Chunks
		end, state := 0, ChunksArriving
		for end < len(data) && state == ChunksArriving {
			var used int
			used, state = chunks.Scan(data[end:min(end+piece, len(data))])
			end += used
		}
		if state == ChunksUnknown && request.Trailer == nil {
			t.Logf("the end of %q is not found", data)
		}
		if state != ChunksUnknown {
			assert.Equal(t, state, ChunksComplete, "net/http has decoded %q", data)
			assert.Equal(t, end, len(data)-len(rest), "%q", data)
		}
	})
}
