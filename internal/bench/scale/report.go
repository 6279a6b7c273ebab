package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/corkpulley/corkpulley/internal/peer"
)

// Report is the result of one run. Times are in seconds, rates are means over
// all nodes for one node and second.
type Report struct {
	Settings    Settings       `json:"settings"`
	JoinSeconds float64        `json:"join_seconds"`
	Steady      Steady         `json:"steady"`
	Tables      *TableResult   `json:"tables,omitempty"`
	Weights     *WeightsResult `json:"weights,omitempty"`
	Rack        *OutageResult  `json:"rack,omitempty"`
	Zone        *OutageResult  `json:"zone,omitempty"`
	Region      *RegionResult  `json:"region,omitempty"`
	Churn       *ChurnResult   `json:"churn,omitempty"`

	printed int // lines
}

// Steady is what a node costs while nothing happens but changing loads.
type Steady struct {
	// PeerPayload is what the transport sends, PeerWire adds TCP and IP.
	PeerPayload float64 `json:"peer_payload_bytes"`
	PeerWire    float64 `json:"peer_wire_bytes"`
	// PlatformWire counts log, machine list and weight store, both ways.
	PlatformWire float64 `json:"platform_wire_bytes"`
	Messages     float64 `json:"peer_messages"`
	// CPU is the share of one core in percent, the hollow parts included.
	CPU float64 `json:"cpu_percent"`
	// Heap is in bytes after a collection, less that before the start.
	Heap       float64             `json:"heap_bytes"`
	Goroutines float64             `json:"goroutines"`
	Classes    map[string]RateLine `json:"classes"`
}

// RateLine is one class of traffic.
type RateLine struct {
	Messages float64 `json:"messages"`
	Payload  float64 `json:"payload_bytes"`
	Wire     float64 `json:"wire_bytes"`
}

// Spread describes measured times.
type Spread struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	Max   float64 `json:"max"`
}

func spreadOf(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(times))
	return Spread{
		Count: len(sorted),
		P50:   sorted[len(sorted)/2].Seconds(),
		Max:   sorted[len(sorted)-1].Seconds(),
	}
}

// isPlatform reports whether the class is traffic with the platform.
func isPlatform(class peer.Method) bool {
	return class == classLog || class == classMachines || class == classStore
}

// printJSON prints the whole report.
func (r *Report) printJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return wrap(encoder.Encode(r), "print report")
}

// printNew prints the lines that were not printed before.
func (r *Report) printNew(output io.Writer) error {
	lines := r.lines()
	for _, line := range lines[r.printed:] {
		if _, err := fmt.Fprintln(output, line); err != nil {
			return wrap(err, "print report")
		}
	}
	r.printed = len(lines)
	return nil
}

// lines is the report for readers.
func (r *Report) lines() []string {
	s := r.Steady
	lines := []string{
		fmt.Sprintf("%d nodes, %d zones, %d regions, %d engines; all joined after %.1f s",
			r.Settings.Nodes, r.Settings.Zones, r.Settings.Regions, r.Settings.Engines, r.JoinSeconds),
		fmt.Sprintf("steady, a node: peers %.0f B/s sent (%.0f with TCP/IP), %.1f messages/s; platform %.0f B/s; CPU %.2f %%; heap %.0f KB; %.0f goroutines",
			s.PeerPayload, s.PeerWire, s.Messages, s.PlatformWire, s.CPU, s.Heap/1024, s.Goroutines),
	}
	for _, name := range sortedKeys(s.Classes) {
		class := s.Classes[name]
		lines = append(lines, fmt.Sprintf("  %-18s %6.2f messages/s %8.1f B/s %8.1f B/s with TCP/IP",
			name, class.Messages, class.Payload, class.Wire))
	}
	return append(lines, r.experimentLines()...)
}

func (r *Report) experimentLines() []string {
	var lines []string
	if t := r.Tables; t != nil {
		lines = append(lines, fmt.Sprintf("table change in force on all nodes: p50 %.2f s, max %.2f s over %d; without the log: p50 %.2f s, max %.2f s",
			t.All.P50, t.All.Max, t.All.Count, t.WithoutLog.P50, t.WithoutLog.Max))
	}
	if w := r.Weights; w != nil {
		lines = append(lines, fmt.Sprintf("new weights on all engines: %v s; %d orders, %.0f/s at the peak, %d downloads refused; directives: busiest second %d",
			w.Seconds, w.Orders, w.PeakOrders, w.Refused, w.PeakDirectives))
	}
	for _, outage := range []*OutageResult{r.Rack, r.Zone} {
		if outage != nil {
			lines = append(lines, outage.line())
		}
	}
	if p := r.Region; p != nil {
		lines = append(lines, p.line())
	}
	if c := r.Churn; c != nil {
		lines = append(lines, fmt.Sprintf("churn: %d nodes replaced in %.0f s (%.1f times the daily rate): peers %.0f B/s a node, views whole after %.1f s",
			c.Replaced, c.Seconds, c.Compression, c.PeerPayload, c.Settled))
	}
	return lines
}
