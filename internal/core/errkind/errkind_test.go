package errkind

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

func TestKindsHaveDistinctCodes(t *testing.T) {
	codes := map[string]Kind{}
	for _, kind := range All() {
		response := kind.Response()
		assert.Assert(t, response.Code != "", "kind %d has no code", kind)
		assert.Assert(t, response.Status >= 400, "%s: status %d", response.Code, response.Status)
		other, taken := codes[response.Code]
		assert.Assert(t, !taken, "kinds %d and %d share code %s", kind, other, response.Code)
		codes[response.Code] = kind
		assert.Assert(t, response.Execution == NotExecuted || response.Execution == Executed || response.Execution == Unknown)
	}
}

func TestFromUnwrapsWrappedErrors(t *testing.T) {
	cause := New(QueueFull, "cell %s is full", "a/b/0")
	wrapped := errors.Wrap(cause, "submit")
	assert.Equal(t, KindOf(wrapped), QueueFull)
	assert.Assert(t, Is(wrapped, QueueFull))
	assert.Equal(t, KindOf(errors.New("plain")), Internal)
	assert.Assert(t, From(nil) == nil)
}

func TestDelayPrefersErrorRetryAfter(t *testing.T) {
	err := New(QueueFull, "full")
	assert.Equal(t, err.Delay(), time.Second)
	err.RetryAfter = 3 * time.Second
	assert.Equal(t, err.Delay(), 3*time.Second)
}

func TestUnlistedKindIsInternal(t *testing.T) {
	assert.Equal(t, Kind(200).Response(), Internal.Response())
}
