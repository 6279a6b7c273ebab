package ledger

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// SampleKey identifies a sample by the slot of a step and the attempt. A discard
// reopens the slot with the next attempt number, so a late sample of the discarded
// attempt is never mistaken for the new one.
type SampleKey struct {
	Step    string `msgpack:"s"`
	Slot    int    `msgpack:"i"`
	Attempt uint32 `msgpack:"a"`
}

// MaxStepIDLength bounds a step ID, in bytes.
const MaxStepIDLength = 128

var stepIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidStepID reports whether a step ID has 1..MaxStepIDLength letters, digits, dots,
// underscores and hyphens and starts with a letter or digit.
func ValidStepID(step string) bool {
	return len(step) <= MaxStepIDLength && stepIDPattern.MatchString(step)
}

// String returns the sample ID in the trainer API, "step/slot/attempt".
func (k SampleKey) String() string {
	return k.Step + "/" + strconv.Itoa(k.Slot) + "/" + strconv.FormatUint(uint64(k.Attempt), 10)
}

// ParseSampleKey parses a sample ID as returned by SampleKey.String.
func ParseSampleKey(id string) (SampleKey, error) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 || !ValidStepID(parts[0]) {
		return SampleKey{}, errors.Errorf("sample ID %q is not of the form step/slot/attempt", id)
	}
	slot, err := strconv.Atoi(parts[1])
	if err != nil || slot < 0 {
		return SampleKey{}, errors.Errorf("sample ID %q has no valid slot number", id)
	}
	attempt, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil || attempt == 0 {
		return SampleKey{}, errors.Errorf("sample ID %q has no valid attempt number", id)
	}
	return SampleKey{Step: parts[0], Slot: slot, Attempt: uint32(attempt)}, nil
}
