package engine

import (
	"encoding/binary"
	"math"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Answer lengths follow a Pareto distribution, so that a few answers are far longer than the rest.
const (
	minAnswerTokens = 16
	paretoExponent  = 1.3
	maxAnswerTokens = 1 << 20
)

// lengthDirective in a prompt sets the answer's length in tokens.
var lengthDirective = regexp.MustCompile(`\[tokens=([0-9]{1,7})\]`)

// minLengthDirective in a prompt sets the distribution's minimum length in tokens.
var minLengthDirective = regexp.MustCompile(`\[shortest=([0-9]{1,4})\]`)

// answerLength returns the natural length in tokens of the answer to a prompt. It is a pure function of its
// arguments, so that all engines agree.
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
	// uniform is in (0, 1].
	uniform := (float64(digest.Sum64()>>11) + 1) / (1 << 53)
	length := minLength(prompt) * math.Pow(uniform, -1/paretoExponent)
	return int(math.Min(length, maxAnswerTokens))
}

func minLength(prompt string) float64 {
	if match := minLengthDirective.FindStringSubmatch(prompt); match != nil {
		if tokens, err := strconv.Atoi(match[1]); err == nil && tokens > 0 {
			return float64(tokens)
		}
	}
	return minAnswerTokens
}
