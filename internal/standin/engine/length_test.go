package engine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMinLengthDirectiveScalesAnswerLengths(t *testing.T) {
	const answers = 1000
	longer := 0
	for seed := range int64(answers) {
		short, long := answerLength("a [shortest=10]", seed), answerLength("a [shortest=40]", seed)
		assert.Assert(t, short >= 10 && long >= 40)
		if long > 80 {
			longer++
		}
	}
	// With a Pareto exponent of 1.3, 2^-1.3 = 0.41 of the answers exceed twice the minimum.
	assert.Assert(t, longer > answers*3/10 && longer < answers*5/10, "%d", longer)
	assert.Assert(t, answerLength("a [shortest=0]", 1) >= minAnswerTokens)
}
