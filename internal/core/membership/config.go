package membership

import "github.com/go-faster/errors"

// Config configures a Node. All times are in ticks.
type Config struct {
	// Self is this node: ID, Writer, Address, and the first incarnation (the
	// start time in seconds does well: a restart then comes after its past).
	Self Update
	// ProbeTicks is the protocol period; DirectTicks, below it, is the wait
	// for an answer before other nodes are asked to probe.
	ProbeTicks  int
	DirectTicks int
	// IndirectProbes is how many nodes are asked.
	IndirectProbes int
	// The suspicion lasts between SuspicionMinimum and SuspicionMaximum
	// protocol periods, times max(1, log10(n+1)); it shrinks with
	// SuspicionConfirmations independent suspicions.
	SuspicionMinimum       float64
	SuspicionMaximum       float64
	SuspicionConfirmations int
	// RetransmitMultiplier times ceil(log10(n+1)) is how often an update is passed on.
	RetransmitMultiplier int
	// MaxUpdates bounds the updates passed on in one message.
	MaxUpdates int
	// RetentionTicks is how long a dead node is remembered.
	RetentionTicks int
	// DeadProbeTicks is the period of probes to nodes held for dead, which
	// heals partitions.
	DeadProbeTicks int
	// YoungTicks is how long after the start this node may still overtake an
	// earlier process of its ID whose incarnation is higher.
	YoungTicks int
	// MaxHealth bounds the local health score: all timeouts are multiplied by
	// the score + 1.
	MaxHealth int
	// Seed of the random choices.
	Seed uint64
}

// DefaultConfig returns the settings for a zone of 5 to 50 nodes at five ticks
// a protocol period.
func DefaultConfig(self Update, seed uint64) Config {
	return Config{
		Self:                   self,
		ProbeTicks:             5,
		DirectTicks:            2,
		IndirectProbes:         3,
		SuspicionMinimum:       2.5,
		SuspicionMaximum:       4,
		SuspicionConfirmations: 2,
		RetransmitMultiplier:   4,
		MaxUpdates:             8,
		RetentionTicks:         6000,
		DeadProbeTicks:         20,
		YoungTicks:             100,
		MaxHealth:              4,
		Seed:                   seed,
	}
}

// validate reports the first setting out of range.
func (c Config) validate() error {
	switch {
	case c.Self.ID == "" || c.Self.Writer == "" || c.Self.Address == "":
		return errors.New("membership: self needs ID, writer and address")
	case c.DirectTicks < 1 || c.ProbeTicks <= c.DirectTicks:
		return errors.New("membership: needs 1 <= DirectTicks < ProbeTicks")
	case c.IndirectProbes < 0:
		return errors.New("membership: IndirectProbes is negative")
	case c.SuspicionMinimum <= 0 || c.SuspicionMaximum < c.SuspicionMinimum:
		return errors.New("membership: needs 0 < SuspicionMinimum <= SuspicionMaximum")
	case c.SuspicionConfirmations < 1:
		return errors.New("membership: SuspicionConfirmations is below 1")
	case c.RetransmitMultiplier < 1 || c.MaxUpdates < 1:
		return errors.New("membership: RetransmitMultiplier or MaxUpdates is below 1")
	case c.RetentionTicks < 1 || c.DeadProbeTicks < 1:
		return errors.New("membership: RetentionTicks or DeadProbeTicks is below 1")
	case c.MaxHealth < 0 || c.YoungTicks < 0:
		return errors.New("membership: MaxHealth or YoungTicks is negative")
	}
	return nil
}
