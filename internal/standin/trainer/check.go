package trainer

import (
	"strconv"
	"strings"

	"github.com/corkpulley/corkpulley/internal/api"
)

// namesVersions reports whether the sample's spans cover its tokens without a
// gap and name a version for each.
func namesVersions(sample api.Sample) bool {
	next := 0
	for _, span := range sample.Versions {
		if span.From != next || span.To <= span.From || span.Version == 0 {
			return false
		}
		next = span.To
	}
	return next == sample.Tokens && sample.Tokens > 0
}

// matchesText reports whether each token's text, "<index>:<version> " as the
// engine stand-in writes it, is in order and of the version named for it.
func matchesText(sample api.Sample) bool {
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
