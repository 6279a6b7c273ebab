package logrelay

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/corkpulley/corkpulley/internal/core/pacing"
	"github.com/corkpulley/corkpulley/internal/standin/memlog"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

func TestAddressOfReturnsAddressesOfOtherNodesOnly(t *testing.T) {
	log := memlog.New()
	one := NewDirectory(log, NodeInfo{Node: "n1", Address: "127.0.0.1:1"}, pacing.Limits{}, zerolog.Nop())
	two := NewDirectory(log, NodeInfo{Node: "n2", Address: "127.0.0.1:2"}, pacing.Limits{}, zerolog.Nop())
	go func() { _ = one.Run(t.Context()) }()
	go func() { _ = two.Run(t.Context()) }()
	testwait.Until(t, "n2 to be known", func() bool { return one.AddressOf("n2") == "127.0.0.1:2" })
	assert.Equal(t, one.AddressOf("n1"), "", "itself")
	assert.Equal(t, one.AddressOf("n3"), "")
	assert.Equal(t, one.AddressOf(""), "")
}
