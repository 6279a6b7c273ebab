package scale

import (
	"time"
)

const (
	// dailyReplacements is how many nodes are restarted or replaced on a day
	// in a deployment of dailyNodes.
	dailyReplacements = 1100
	dailyNodes        = 420
	// churnTime and churnPause set the pace: one replacement a pause.
	churnTime  = 30 * time.Second
	churnPause = time.Second
	// crashEvery is how many replacements come for one that dies unplanned.
	crashEvery = 4
)

// ChurnResult tells what replacements cost at a multiple of the daily rate.
type ChurnResult struct {
	Replaced int     `json:"replaced"`
	Seconds  float64 `json:"seconds"`
	// Compression is the pace against that of an ordinary day.
	Compression float64 `json:"compression"`
	PeerPayload float64 `json:"peer_payload_bytes"`
	// Settled is the time until all nodes knew all, and all streams had owners.
	Settled float64 `json:"settled_seconds"`
}

// churn replaces random nodes, most of them by plan.
func (w *World) churn(report *Report) error {
	result := &ChurnResult{}
	report.Churn = result
	began, counts := time.Now(), w.network.traffic.counts()
	for time.Since(began) < churnTime {
		w.replaceOne(result.Replaced%crashEvery == 0)
		result.Replaced++
		if err := sleep(w.base, churnPause); err != nil {
			return err
		}
	}
	elapsed := time.Since(began).Seconds()
	result.Seconds = elapsed
	const secondsPerDay = 24 * 3600
	daily := dailyReplacements / float64(dailyNodes) * float64(len(w.nodes)) / secondsPerDay
	result.Compression = float64(result.Replaced) / elapsed / daily
	result.PeerPayload = w.ratesSince(counts, elapsed*float64(len(w.nodes))).PeerPayload
	settled, err := w.waitUntil(outageLimit, lookPause, func() bool { return w.allKnown() && w.allOwned(w.nodes) })
	result.Settled = settled.Seconds()
	return wrap(err, "all nodes know all")
}

// replaceOne ends a node that is no seed and starts a new process of its name.
func (w *World) replaceOne(crash bool) {
	first := min(seedCount, len(w.nodes)-1)
	at := first + w.random.IntN(len(w.nodes)-first)
	if crash {
		w.nodes[at].crash()
	} else {
		w.nodes[at].leave()
	}
	w.nodes[at] = w.startNode(w.nodes[at].identity)
}
