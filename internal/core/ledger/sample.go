package ledger

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// SampleKey identifies one sample: the slot of a step and the attempt that
// filled it. A slot reopened after a discard has the next attempt, so a late
// answer with the discarded sample can never be taken for the new one.
type SampleKey struct {
	Step    string `msgpack:"s"`
	Slot    int    `msgpack:"i"`
	Attempt uint32 `msgpack:"a"`
}

// MaxStepIDLength bounds a step ID, in bytes.
const MaxStepIDLength = 128

var stepIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidStepID reports whether a step ID consists of 1..MaxStepIDLength letters,
// digits, dots, underscores and hyphens and starts with a letter or digit.
func ValidStepID(step string) bool {
	return len(step) <= MaxStepIDLength && stepIDPattern.MatchString(step)
}

// String returns the sample ID that trainers see: "step/slot/attempt".
func (k SampleKey) String() string {
	return k.Step + "/" + strconv.Itoa(k.Slot) + "/" + strconv.FormatUint(uint64(k.Attempt), 10)
}

// ParseSampleKey is the inverse of SampleKey.String.
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
