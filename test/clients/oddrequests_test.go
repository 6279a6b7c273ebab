//go:build linux

package clients

import (
	"maps"
	"slices"
	"strings"
	"testing"
)

// oddRequests are the bytes that a client sends on one connection.
var oddRequests = map[string]string{
	"trickled bytes":              startLine[:40],
	"missing colon":               startLine + strings.Repeat("no colon here\r\n", 1000) + "\r\n",
	"control characters":          startLine + strings.Repeat("a: \x01\x02\x7f\r\n", 1000) + "\r\n",
	"zero bytes":                  strings.Repeat("\x00", endlessBytes),
	"long name":                   startLine + strings.Repeat("n", 10<<10) + ": x\r\n\r\n",
	"host twice":                  startLine + "Host: other\r\n\r\n",
	"length twice":                startLine + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
	"length beside chunks":        startLine + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
	"negative length":             startLine + "Content-Length: -1\r\n\r\n",
	"length beyond 64 bits":       startLine + "Content-Length: 99999999999999999999999\r\n\r\n",
	"length above the limit":      startLine + "Content-Length: 9000000000000000000\r\n\r\n",
	"unknown coding":              startLine + "Transfer-Encoding: gzip, chunked\r\n\r\n",
	"chunk extension without end": startLine + "Transfer-Encoding: chunked\r\n\r\n5;" + strings.Repeat("x", endlessBytes),
	"chunk extensions":            startLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\na\r\n", 500),
	"chunk size without end":      startLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", endlessBytes),
	"trailer without end":         startLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortLines(endlessBytes),
	"chunks without end":          startLine + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 20_000),
	"upgrade":                     startLine + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n" + strings.Repeat("\x81\x05hello", 1000),
	"expectation":                 startLine + "Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n",
	"unknown expectation":         startLine + "Expect: tea\r\nContent-Length: 100000\r\n\r\n",
	"TLS":                         "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\xaa", 507),
	"HTTP/2":                      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00\x00\x00\x04\x00\x00\x00\x00\x00", 1000),
	"HTTP/0.9":                    "GET /\r\n",
	"empty lines first":           strings.Repeat("\r\n", endlessBytes),
	"empty lines after a request": startLine + "Content-Length: 0\r\n\r\n" + strings.Repeat("\r\n", endlessBytes),
	"line feeds first":            strings.Repeat("\n", endlessBytes),
	"carriage returns":            startLine + strings.Repeat("\r", endlessBytes),
	"continuation lines":          startLine + "a: b\r\n" + strings.Repeat(" c\r\n", endlessBytes/4),
	"request line without end":    "GET /" + strings.Repeat("x", endlessBytes),
	"blanks":                      strings.Repeat(" ", endlessBytes),
	"half a header, then closed":  startLine + shortLines(1000),
}

// A crowd sends each kind of odd request, and the daemon survives all of them.
func TestOddRequests(t *testing.T) {
	shared := startHosted(t, smallMemory())
	for _, name := range slices.Sorted(maps.Keys(oddRequests)) {
		payload := oddRequests[name]
		t.Run(name, func(t *testing.T) {
			d := shared.within(t)
			c := gather(t, d.callers, 50, func(int) string { return payload })
			d.checkServesCaller()
			d.checkWithinLimits()
			c.leave()
		})
	}
}
