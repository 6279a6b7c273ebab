package boundedhttp

import (
	"golang.org/x/sys/unix"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/connections"
	"github.com/corkpulley/corkpulley/internal/settings"
)

const (
	// The node's memory divided by memoryDivisor may be held for callers and engines. The collector keeps as much again,
	// bodies may exist twice, raw and decoded, and the rest of the node takes some 25 to 100 MB.
	memoryDivisor = 6
	// defaultMemoryBytes is assumed if the node's memory is not configured.
	defaultMemoryBytes = 384 << 20
	// connectionBytes is the memory for a connection besides its requests: a goroutine, buffers, and the kernel's socket.
	// Connections of callers may take 1/callerMemoryDivisor of the memory, those of peers 1/peerMemoryDivisor.
	connectionBytes     = 16 << 10
	callerMemoryDivisor = 8
	peerMemoryDivisor   = 8
	// Parts of the descriptors for connections of callers, in eighths, and of peers and operators, as divisors. The rest is
	// left for engines, the log and other nodes.
	callerDescriptorEighths   = 3
	peerDescriptorDivisor     = 4
	operatorDescriptorDivisor = 32
	minOperatorConnections    = 8
)

// Listeners are the connections of a node, which share its memory and descriptors.
type Listeners struct {
	Set                       *connections.Set
	Callers, Peers, Operators *connections.Group
}

// NewListeners returns the limits of a node's listeners. Their connections are charged to the budget.
func NewListeners(node settings.Node, budget *bytebudget.Budget) Listeners {
	memory, descriptors := memoryBytes(node), descriptorLimit(node)
	return Listeners{
		Set: connections.NewSet(budget),
		Callers: connections.NewGroup(min(
			descriptors*callerDescriptorEighths/8, int(memory/callerMemoryDivisor/connectionBytes))),
		Peers: connections.NewGroup(min(
			descriptors/peerDescriptorDivisor, int(memory/peerMemoryDivisor/connectionBytes))),
		Operators: connections.NewGroup(max(minOperatorConnections, descriptors/operatorDescriptorDivisor)),
	}
}

// NewBudget returns the budget of bytes held for callers and engines.
func NewBudget(node settings.Node) *bytebudget.Budget { return bytebudget.New(BudgetLimit(node)) }

// BudgetLimit returns the size of the budget in bytes.
func BudgetLimit(node settings.Node) int64 { return memoryBytes(node) / memoryDivisor }

func memoryBytes(node settings.Node) int64 {
	if node.MemoryMB == 0 {
		return defaultMemoryBytes
	}
	return int64(node.MemoryMB) << 20
}

// descriptorLimit returns the number of descriptors that the process may have.
func descriptorLimit(node settings.Node) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > settings.MaxDescriptors {
		limit.Cur = settings.MaxDescriptors
	}
	if node.MaxDescriptors == 0 {
		return int(limit.Cur)
	}
	return min(node.MaxDescriptors, int(limit.Cur))
}
