package loadexchange

import (
	"testing"

	"github.com/corkpulley/corkpulley/internal/goldenrecord"
)

// TestMessagesOfEarlierBuilds guards against messages that are misread between this build and earlier ones.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	goldenrecord.Check(t, goldenrecord.RecordType{Name: "message", Value: &Message{}})
}
