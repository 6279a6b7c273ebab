package trainer

import (
	"strconv"
	"strings"

	"github.com/corkpulley/corkpulley/internal/api"
)

// versionsCoverTokens reports whether the sample's spans cover its tokens without gaps and with non-zero versions.
func versionsCoverTokens(sample api.Sample) bool {
	next := 0
	for _, span := range sample.Versions {
		if span.From != next || span.To <= span.From || span.Version == 0 {
			return false
		}
		next = span.To
	}
	return next == sample.Tokens && sample.Tokens > 0
}

// versionsMatchText reports whether the text consists of the tokens "<index>:<version> " that the simulated engine
// generates, in order and with the versions of the sample's spans.
func versionsMatchText(sample api.Sample) bool {
	tokens := strings.SplitAfter(sample.Text, " ")
	if last := len(tokens) - 1; tokens[last] == "" {
		tokens = tokens[:last]
	}
	if len(tokens) != sample.Tokens {
		return false
	}
	for _, span := range sample.Versions {
		for index := span.From; index < span.To; index++ {
			wanted := strconv.Itoa(index) + ":" + strconv.FormatUint(span.Version, 10) + " "
			if index >= len(tokens) || tokens[index] != wanted {
				return false
			}
		}
	}
	return true
}
