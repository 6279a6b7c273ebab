package picture

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a corrupt number in one line that hangs or aborts the report.
func TestExtremeNumbersAreDrawn(t *testing.T) {
	for _, extreme := range []int64{1, math.MaxInt32, 7258118400000, 1 << 53, math.MaxInt64} {
		built := read(t, fmt.Sprintf(`{"node":"n","config":%[1]d,"time":%[1]d,"message":"configuration in force"}
{"node":"n","job":"j","model":"m","step":%[1]d,"time":%[1]d,"message":"job submitted"}
{"node":"n","epoch":%[1]d,"time":1780377647000,"message":"leadership gained"}
{"node":"n","time":%[1]d,"message":"request ended"}
{"node":"n","time":1780377648000,"message":"request ended"}`, extreme))
		_, err := All(built)
		assert.NilError(t, err)
	}
}
