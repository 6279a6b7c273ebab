package membership

import "github.com/go-faster/errors"

// Config configures a Node. All times are in ticks.
type Config struct {
	// Self is this node: ID, Writer, Address, and the initial incarnation, which should exceed that of
	// earlier processes with this ID (such as the start time in seconds).
	Self Update
	// ProbeTicks is the protocol period: the time between two probes.
	ProbeTicks int
	// PingTimeoutTicks is the time to wait for the ack of a direct probe before indirect probes are sent. It is
	// below ProbeTicks.
	PingTimeoutTicks int
	// IndirectProbes is the number of nodes that are asked to probe a node that did not answer.
	IndirectProbes int
	// MinSuspicionPeriods and MaxSuspicionPeriods bound the suspicion timeout, in protocol periods times
	// max(1, log10(n+1)).
	MinSuspicionPeriods float64
	MaxSuspicionPeriods float64
	// SuspicionConfirmations is the number of independent confirmations that shorten the suspicion timeout
	// to the minimum.
	SuspicionConfirmations int
	// RetransmitMultiplier times ceil(log10(n+1)) is the number of messages that carry an update.
	RetransmitMultiplier int
	// MaxUpdates bounds the number of queued updates in a message.
	MaxUpdates int
	// RetentionTicks is how long a dead node is kept in the member list.
	RetentionTicks int
	// DeadProbeTicks is the period of probes to dead nodes, which detect that a partition has healed.
	DeadProbeTicks int
	// TakeoverTicks is how long after its start this node may take over its ID from another process
	// whose incarnation is higher.
	TakeoverTicks int
	// MaxHealth bounds the local health score. Timeouts are multiplied by the score plus one.
	MaxHealth int
	// Seed is the seed of random choices.
	Seed uint64
}

// DefaultConfig returns the configuration for a zone of 5 to 50 nodes with five ticks per protocol period.
func DefaultConfig(self Update, seed uint64) Config {
	return Config{
		Self:                   self,
		ProbeTicks:             5,
		PingTimeoutTicks:       2,
		IndirectProbes:         3,
		MinSuspicionPeriods:    2.5,
		MaxSuspicionPeriods:    4,
		SuspicionConfirmations: 2,
		RetransmitMultiplier:   4,
		MaxUpdates:             8,
		RetentionTicks:         6000,
		DeadProbeTicks:         20,
		TakeoverTicks:          100,
		MaxHealth:              4,
		Seed:                   seed,
	}
}

// validate returns an error for the first field that is out of range.
func (c Config) validate() error {
	switch {
	case c.Self.ID == "" || c.Self.Writer == "" || c.Self.Address == "":
		return errors.New("membership: self needs an ID, a writer and an address")
	case c.PingTimeoutTicks < 1 || c.ProbeTicks <= c.PingTimeoutTicks:
		return errors.New("membership: PingTimeoutTicks must be at least 1 and less than ProbeTicks")
	case c.IndirectProbes < 0:
		return errors.New("membership: IndirectProbes must not be negative")
	case c.MinSuspicionPeriods <= 0 || c.MaxSuspicionPeriods < c.MinSuspicionPeriods:
		return errors.New("membership: MinSuspicionPeriods must be positive and at most MaxSuspicionPeriods")
	case c.SuspicionConfirmations < 1:
		return errors.New("membership: SuspicionConfirmations must be at least 1")
	case c.RetransmitMultiplier < 1 || c.MaxUpdates < 1:
		return errors.New("membership: RetransmitMultiplier and MaxUpdates must be at least 1")
	case c.RetentionTicks < 1 || c.DeadProbeTicks < 1:
		return errors.New("membership: RetentionTicks and DeadProbeTicks must be at least 1")
	case c.MaxHealth < 0 || c.TakeoverTicks < 0:
		return errors.New("membership: MaxHealth and TakeoverTicks must not be negative")
	}
	return nil
}
