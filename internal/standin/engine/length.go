package engine

import (
	"encoding/binary"
	"math"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shape of the answer lengths: a Pareto distribution, so that a few answers run
// far longer than the rest.
const (
	shortestAnswer = 16
	tailExponent   = 1.3
	longestAnswer  = 1 << 20
)

// lengthDirective fixes the answer's length from inside a prompt.
var lengthDirective = regexp.MustCompile(`\[tokens=([0-9]{1,7})\]`)

// shortestDirective sets the shortest answer from inside a prompt, so that
// groups of prompts differ in length.
var shortestDirective = regexp.MustCompile(`\[shortest=([0-9]{1,4})\]`)

// answerLength returns the natural length in tokens of the answer to a prompt.
// It depends on its arguments only, so each engine agrees on it.
func answerLength(prompt string, seed int64) int {
	if match := lengthDirective.FindStringSubmatch(prompt); match != nil {
		length, err := strconv.Atoi(match[1])
		if err == nil {
			return length
		}
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt)
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], uint64(seed))
	_, _ = digest.Write(encoded[:])
	// uniform lies in (0, 1].
	uniform := (float64(digest.Sum64()>>11) + 1) / (1 << 53)
	length := shortest(prompt) * math.Pow(uniform, -1/tailExponent)
	return int(math.Min(length, longestAnswer))
}

func shortest(prompt string) float64 {
	if match := shortestDirective.FindStringSubmatch(prompt); match != nil {
		if tokens, err := strconv.Atoi(match[1]); err == nil && tokens > 0 {
			return float64(tokens)
		}
	}
	return shortestAnswer
}
