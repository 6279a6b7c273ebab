package soak

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/corkpulley/corkpulley/internal/standin/platform"
	"github.com/corkpulley/corkpulley/internal/testwait"
)

// cutByStop changes a history so that a planned stop of node 1 cuts the unsafe request, which an engine ran at second 1.
func cutByStop(h *History) {
	h.Calls[1].KeptConnection, h.Calls[1].Node, h.Calls[1].Intact = true, 1, false
	h.Calls[1].Deadline, h.Calls[1].EndedAt = 4*time.Second, at(2)
	h.Disturbances = []*Disturbance{
		{Node: 1, From: at(0.5), To: at(2), PlannedStop: true}, {Node: 2, From: at(0), To: at(3), PlannedStop: true},
	}
}

var overlapMutations = []mutation{
	{"item given up before its job was canceled", "VERSION", func(h *History) {
		h.Jobs[0].Positions[0] = standin.ItemResult{ID: "item-2", State: "expired"}
		h.Jobs[0].ReadBeforeCancel = 1
	}},
	{"sample of two versions on a route of one", "VERSION", func(h *History) {
		h.Jobs[0].SingleVersion = true
		lines := strings.Split(textOf("item-2", 4), "\n")
		lines[0] = eventData("item-2", 1, 5)
		h.Jobs[0].Positions[0].Text, h.Jobs[0].Positions[0].Versions = strings.Join(lines, "\n"), []int64{5, 4}
	}},
	{"request cut by a planned stop", "LOST", cutByStop},
	{"request cut right after the process ended", "LOST", func(h *History) {
		cutByStop(h)
		h.Calls[1].EndedAt = at(2.5)
	}},
}

// Guards against planned stops that are blamed for requests that something else ended.
func TestCheckPlannedStopsAllowsOtherCauses(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"complete":      func(h *History) { h.Calls[1].Intact = true },
		"not passed on": func(h *History) { h.Engines[0].Runs = slices.Delete(h.Engines[0].Runs, 1, 2) },
		"engine ended":  func(h *History) { h.Engines[0].EndedAt = at(2.2) },
		"other fault near": func(h *History) {
			h.Disturbances = append(h.Disturbances, &Disturbance{Node: 3, From: at(1), To: at(1.1)})
		},
		"near its deadline":    func(h *History) { h.Calls[1].Deadline = 1200 * time.Millisecond },
		"stop of another node": func(h *History) { h.Calls[1].Node = 3 },
		"long after the stop":  func(h *History) { h.Calls[1].EndedAt = at(3.1) },
	} {
		h := validHistory()
		cutByStop(h)
		change(h)
		assert.Equal(t, len(checkPlannedStops(h, bounds)), 0, name)
	}
}

// Guards against items that count as given up early although engines failed them as often as their route allows.
func TestItemExpiresOnceItsAttemptsAreUsedUp(t *testing.T) {
	for id, attempts := range map[string]int{"item-1": batchAttempts, "score-1": scoringAttempts} {
		h := validHistory()
		h.Jobs[0].Positions[2] = standin.ItemResult{ID: "item-1", State: "expired"}
		h.Jobs[0].ReadBeforeCancel = 3
		failed := runOf(id, "/x", "b", 2)
		failed.Fault = standin.RespondsError
		for range attempts {
			assert.Equal(t, len(checkSampleVersions(h, bounds)), 1, id)
			h.Engines[1].Runs = append(h.Engines[1].Runs, failed)
		}
		assert.Equal(t, len(checkSampleVersions(h, bounds)), 0, id)
	}
}

// A stream that may be resumed runs at several engines.
func TestResumableStreamMayRunAgain(t *testing.T) {
	h := validHistory()
	h.Engines[1].Runs = append(h.Engines[1].Runs, runOf("stream", "/stream/stream", "t", 1.5))
	assert.Equal(t, len(checkAtMostOnce(h, bounds)), 1)
	h.Calls[2].Resumable = true
	assert.Equal(t, len(checkAtMostOnce(h, bounds)), 0)
}

// Series must overlap, some must be planned work only, and an engine must be held while no node is disturbed.
func TestDrawOverlapCoversSeriesAndCalm(t *testing.T) {
	const length = 20 * time.Minute
	faults := DrawOverlap(7, length)
	assert.DeepEqual(t, faults, DrawOverlap(7, length))
	drawn, overlapping, planned := make(map[Kind]bool), 0, 0
	for period := faultFreeStart; period+overlapPeriod < length; period += overlapPeriod {
		onlyPlanned, stops := true, 0
		var previous Fault
		for _, fault := range faults {
			if fault.At < period || fault.At >= period+overlapSeries {
				continue
			}
			drawn[fault.Kind] = true
			onlyPlanned = onlyPlanned && slices.ContainsFunc(plannedWeights, func(each weightedKind) bool { return each.kind == fault.Kind })
			if fault.Kind == NodeStopped {
				stops++
			}
			if previous.Number > 0 && fault.At < previous.At+previous.Duration {
				overlapping++
			}
			previous = fault
		}
		if onlyPlanned && stops > 1 {
			planned++
		}
	}
	assert.Assert(t, overlapping > 100, "%d faults overlap", overlapping)
	assert.Assert(t, planned > 5, "%d series of several planned stops", planned)
	for _, each := range overlapWeights {
		assert.Assert(t, drawn[each.kind], "%s is never drawn", each.kind)
	}
	held := 0
	for _, fault := range faults {
		if fault.Kind != EngineHeld {
			continue
		}
		held++
		for _, other := range faults {
			isNode := slices.Contains([]Kind{NodeStopped, NodeKilled, NodeFrozen, LinkReset, StoreSlow}, other.Kind)
			ended := other.At + other.Duration + DefaultBounds().Settle
			assert.Assert(t, !isNode || ended <= fault.At || other.At >= fault.At+fault.Duration, "%s beside %s", other, fault)
		}
	}
	assert.Assert(t, held > 30, "%d engines are held", held)
}

// Guards against engines that never get some of the faults, because one number selects both.
func TestEachEngineAnswersWronglyInEachWay(t *testing.T) {
	for _, slots := range []int{6, 12, 14} {
		type pair struct {
			slot   int
			answer standin.EngineFault
		}
		seen := make(map[pair]bool)
		for target := range maxTargets {
			seen[pair{target % slots, Fault{Target: target}.wrongAnswer(slots)}] = true
		}
		assert.Equal(t, len(seen), slots*len(wrongAnswers))
	}
}

// Guards against a held engine that gets bytes of connections that were reset, or that loses those of connections that
// were closed.
func TestGateDropsBytesOfResetConnections(t *testing.T) {
	for _, reset := range []bool{false, true} {
		s := newSink(t)
		connection, err := net.Dial("tcp", s.senderProxy.address)
		assert.NilError(t, err)
		_, err = io.WriteString(connection, "first")
		assert.NilError(t, err)
		testwait.Until(t, "the first bytes", func() bool { return s.arrived.Load() == 5 })
		release := s.senderProxy.gate.hold()
		for _, part := range []string{"he", "ld"} { // a request's header and its body are separate writes
			_, err = io.WriteString(connection, part)
			assert.NilError(t, err)
			time.Sleep(quietTime)
		}
		assert.Equal(t, s.arrived.Load(), int64(5))
		if reset {
			assert.NilError(t, connection.(*net.TCPConn).SetLinger(0))
		}
		assert.NilError(t, connection.Close())
		time.Sleep(quietTime)
		release()
		if reset {
			time.Sleep(quietTime)
			assert.Equal(t, s.arrived.Load(), int64(5))
			continue
		}
		testwait.Until(t, "the held bytes", func() bool { return s.arrived.Load() == 9 })
	}
}
