package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
)

// ClientCrowd: clients that misbehave keep connections to all listeners of one node, and come back at once when they are
// closed. No node counts as disturbed.
const ClientCrowd Kind = "client-crowd"

const (
	// crowdMemoryMB is the memory of a node that meets crowds.
	crowdMemoryMB = 128
	// crowdMembers is the number of connections of a crowd.
	crowdMembers = 160
	// crowdPeriod is the time between the starts of two crowds, which last from minCrowd to maxCrowd.
	crowdPeriod = 6 * time.Second
	minCrowd    = 2 * time.Second
	maxCrowd    = 8 * time.Second
	// crowdStay bounds the stay on one connection, crowdReturnDelay is the delay before the next one.
	crowdStay        = 2 * time.Second
	crowdReturnDelay = 5 * time.Millisecond
	// crowdStream is the PCG stream of crowds.
	crowdStream = 7
)

// DrawCrowds returns overlapping faults, and crowds beside them, for a run of the given length.
func DrawCrowds(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, crowdStream))
	drawn := DrawOverlap(seed, length)
	for period := faultFreeStart; period < length; period += crowdPeriod {
		drawn = append(drawn, Fault{
			At: uniformDuration(random, period, period+crowdPeriod), Duration: uniformDuration(random, minCrowd, maxCrowd),
			Kind: ClientCrowd, Target: random.IntN(maxTargets),
		})
	}
	return keepWithin(drawn, length)
}

// crowdPayloads are what members of a crowd send; none of them is a request that a route serves.
func crowdPayloads() []string {
	var lines strings.Builder
	for number := 0; lines.Len() < 15<<10; number++ {
		fmt.Fprintf(&lines, "%s:\r\n", strconv.FormatInt(int64(number), 36))
	}
	start := "POST " + standin.PrefixLookup + "crowd HTTP/1.1\r\nHost: " + standin.RouteHost + "\r\n"
	return []string{
		"",
		start + lines.String(),
		start + lines.String() + lines.String() + lines.String(),
		start + lines.String() + "Content-Length: 1000\r\n\r\n",
		start + "Content-Length: 900000\r\n\r\n" + strings.Repeat("x", 200_000),
		start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1000),
		strings.Repeat("\r\n", 10_000),
		start + "no colon\r\n\r\n",
		strings.Repeat("GET /none HTTP/1.1\r\nHost: none\r\n\r\n", 500),
	}
}

// holdCrowd keeps a crowd at a node, and checks that its processes stay within their memory.
func (d *deployment) holdCrowd(ctx context.Context, target *node, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	addresses := []string{target.callerAddress, target.callerAddress, target.operatorAddress}
	payloads := crowdPayloads()
	var members sync.WaitGroup
	for number := range crowdMembers {
		members.Go(func() {
			for round := number; ctx.Err() == nil; round++ {
				visit(ctx, addresses[number%len(addresses)], payloads[round%len(payloads)])
				retry.Sleep(ctx, crowdReturnDelay)
			}
		})
	}
	members.Wait()
	if err := target.checkMemory(); err != nil {
		target.recordProblem(err.Error())
	}
}

// visit sends a payload on a new connection and stays until it is closed, at most for crowdStay.
func visit(ctx context.Context, address, payload string) {
	ctx, cancel := context.WithTimeout(ctx, crowdStay)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	// A reset leaves no socket behind that the kernel keeps for a minute.
	_ = connection.(*net.TCPConn).SetLinger(0)
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	_, _ = io.WriteString(connection, payload)
	_, _ = io.Copy(io.Discard, connection)
}

// checkMemory returns an error if the node's process has taken more than the memory of its settings.
func (n *node) checkMemory() error {
	running, incarnation := n.current()
	if running == nil {
		return nil
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", running.ID()))
	if err != nil {
		// The process has ended, or the system has no such file.
		return nil
	}
	for line := range strings.Lines(string(status)) {
		value, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
		if err != nil || kilobytes>>10 > n.memoryMB {
			return errors.Errorf("node %d took %d MB of %d in incarnation %d", n.number, kilobytes>>10, n.memoryMB, incarnation)
		}
	}
	return nil
}
