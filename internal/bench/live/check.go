package live

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/api"
)

// Token is one token of an engine stand-in: its index in the answer and the
// weight version that produced it, as its text says ("<index>:<version> ").
type Token struct {
	Index   int
	Version uint64
}

// ParseTokens reads the text of an engine stand-in.
func ParseTokens(text string) ([]Token, error) {
	var tokens []Token
	for word := range strings.SplitSeq(text, " ") {
		if word == "" {
			continue
		}
		token, err := parseToken(word)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, token)
	}
	return tokens, nil
}

func parseToken(word string) (Token, error) {
	left, right, found := strings.Cut(word, ":")
	if !found {
		return Token{}, errors.Errorf("token %q has no colon", word)
	}
	index, err := strconv.Atoi(left)
	if err != nil {
		return Token{}, errors.Wrapf(err, "index of token %q", word)
	}
	version, err := strconv.ParseUint(right, 10, 64)
	if err != nil {
		return Token{}, errors.Wrapf(err, "version of token %q", word)
	}
	return Token{Index: index, Version: version}, nil
}

// Check returns every broken rule of a completed answer: tokens in order and
// without a gap, as many as usage says, never more than were asked for and as
// many as the prompt fixes, and each under the version that weight_versions
// names for it.
func Check(outcome *Outcome) []string {
	tokens, err := ParseTokens(outcome.Text)
	if err != nil {
		return []string{err.Error()}
	}
	var faults []string
	add := func(format string, arguments ...any) {
		faults = append(faults, fmt.Sprintf(format, arguments...))
	}
	for i, token := range tokens {
		if token.Index != i {
			add("token %d of the answer says that it is token %d", i, token.Index)
			break
		}
	}
	switch {
	case outcome.Usage == nil:
		add("answer has no usage")
	case outcome.Usage.CompletionTokens != len(tokens):
		add("usage says %d tokens, the text has %d", outcome.Usage.CompletionTokens, len(tokens))
	}
	if outcome.Call.MaxTokens > 0 && len(tokens) > outcome.Call.MaxTokens {
		add("%d tokens where at most %d were asked for", len(tokens), outcome.Call.MaxTokens)
	}
	if fixed, found := fixedLength(outcome.Call.Prompt); found {
		if whole := min(fixed, outcome.Call.MaxTokens); len(tokens) != whole {
			add("%d tokens where the whole answer to this prompt has %d", len(tokens), whole)
		}
	}
	if outcome.FinishReason == "" {
		add("answer has no finish reason")
	}
	return append(faults, CheckVersions(tokens, outcome.Versions)...)
}

// lengthDirective is how a prompt fixes the length of an engine stand-in's
// answer; an answer to another prompt, or a cut one, is known by its length.
var lengthDirective = regexp.MustCompile(`\[tokens=([0-9]{1,7})\]`)

// fixedLength returns the length that the prompt fixes, if it does.
func fixedLength(prompt string) (int, bool) {
	match := lengthDirective.FindStringSubmatch(prompt)
	if match == nil {
		return 0, false
	}
	length, err := strconv.Atoi(match[1])
	return length, err == nil
}

// CheckVersions returns every way in which spans fail to name exactly the
// version of each token.
func CheckVersions(tokens []Token, spans []api.VersionSpan) []string {
	var faults []string
	next := 0
	for _, span := range spans {
		if span.From != next || span.To <= span.From || span.To > len(tokens) {
			fault := fmt.Sprintf("span [%d,%d) does not continue at token %d of %d", span.From, span.To, next, len(tokens))
			return append(faults, fault)
		}
		for _, token := range tokens[span.From:span.To] {
			if token.Version != span.Version {
				fault := fmt.Sprintf("token %d ran under version %d, its span says %d", token.Index, token.Version, span.Version)
				faults = append(faults, fault)
				break
			}
		}
		next = span.To
	}
	if next != len(tokens) {
		faults = append(faults, fmt.Sprintf("spans name %d of %d tokens", next, len(tokens)))
	}
	return faults
}
