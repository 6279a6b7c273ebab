package hosted

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/admission"
	"github.com/corkpulley/corkpulley/internal/core/routes"
)

// Guards against scoring calls that are held back, or sent in vain, by the capacity of a part that gets none or few of them.
func TestCapacityOfSplitRoute(t *testing.T) {
	capacities := map[string]admission.Capacity{
		"small": {Slots: 4, Busy: 1}, "large": {Slots: 100, Busy: 20}, "empty": {},
	}
	of := func(service string) admission.Capacity { return capacities[service] }
	for name, test := range map[string]struct {
		parts []routes.Part
		want  admission.Capacity
	}{
		"one part":              {[]routes.Part{{Service: "small"}}, admission.Capacity{Slots: 4, Busy: 1}},
		"small part is limit":   {[]routes.Part{{Service: "small", Weight: 1}, {Service: "large", Weight: 1}}, admission.Capacity{Slots: 8, Busy: 2}},
		"large part is limit":   {[]routes.Part{{Service: "small", Weight: 1}, {Service: "large", Weight: 99}}, admission.Capacity{Slots: 101, Busy: 20}},
		"part without weight":   {[]routes.Part{{Service: "small"}, {Service: "large", Weight: 9}}, admission.Capacity{Slots: 100, Busy: 20}},
		"part without engines":  {[]routes.Part{{Service: "empty", Weight: 9}, {Service: "large", Weight: 1}}, admission.Capacity{Slots: 1000, Busy: 200}},
		"no part with a weight": {[]routes.Part{{Service: "small"}, {Service: "large"}}, admission.Capacity{}},
	} {
		assert.Check(t, capacityOf(test.parts, of) == test.want, "%s: %v", name, capacityOf(test.parts, of))
	}
}
