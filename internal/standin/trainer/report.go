package trainer

import "time"

// Report holds a trainer's own counts.
type Report struct {
	Trainer             string `json:"trainer"`
	Steps               int    `json:"steps"`
	StepsTrained        int    `json:"steps_trained"`
	SamplesWanted       int    `json:"samples_wanted"`
	SamplesAcknowledged int    `json:"samples_acknowledged"`
	// Rejected counts superseded or stale samples, whose slots were filled again.
	Rejected int `json:"rejected"`
	// Duplicates counts samples accepted for a slot that already had one.
	Duplicates int `json:"duplicates"`
	// Lost counts slots that the system reported as acknowledged without a sample accepted here.
	Lost int `json:"lost"`
	// Stale counts samples accepted beyond the staleness bound; 0 for UnknownBound.
	Stale int `json:"stale"`
	// InvalidVersions counts fetched samples whose version spans have gaps or do not match their text.
	InvalidVersions int     `json:"unnamed_versions"`
	StalenessMean   float64 `json:"staleness_mean"`
	StalenessMax    uint64  `json:"staleness_max"`
	// Staleness is the staleness of each accepted sample, in order.
	Staleness    []uint64  `json:"staleness"`
	IdleSeconds  float64   `json:"idle_seconds"`
	TrainSeconds float64   `json:"train_seconds"`
	StepSeconds  []float64 `json:"step_seconds"`
	Version      uint64    `json:"version"`
	Retries      int64     `json:"retries"`
}

// ViolatesGuarantees reports whether a guarantee to the trainer was violated.
func (r Report) ViolatesGuarantees() bool {
	return r.Duplicates > 0 || r.Lost > 0 || r.Stale > 0 || r.InvalidVersions > 0
}

// Report returns the counts so far.
func (t *Trainer) Report() Report {
	report := t.journal.report(t.config.StalenessBound)
	report.Trainer = t.config.Trainer
	report.Steps = t.config.Steps
	report.SamplesWanted = t.config.Steps * t.samplesPerStep()
	report.Retries = t.client.retries.Load()
	return report
}

func (j *Journal) report(bound int) Report {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	report := Report{
		StepsTrained:        j.trainedSteps,
		SamplesAcknowledged: len(j.acceptedBySlot),
		Duplicates:          len(j.accepted) - len(j.acceptedBySlot),
		Rejected:            j.rejected,
		Lost:                j.lost,
		InvalidVersions:     j.invalidVersions,
		Staleness:           make([]uint64, 0, len(j.accepted)),
		IdleSeconds:         j.idle.Seconds(),
		TrainSeconds:        j.training.Seconds(),
		StepSeconds:         seconds(j.stepTimes),
		Version:             j.version,
	}
	total := uint64(0)
	for _, accepted := range j.accepted {
		staleness := accepted.Staleness()
		total += staleness
		report.Staleness = append(report.Staleness, staleness)
		report.StalenessMax = max(report.StalenessMax, staleness)
		if bound != UnknownBound && staleness > uint64(bound) {
			report.Stale++
		}
	}
	if len(j.accepted) > 0 {
		report.StalenessMean = float64(total) / float64(len(j.accepted))
	}
	return report
}

func seconds(durations []time.Duration) []float64 {
	list := make([]float64, 0, len(durations))
	for _, duration := range durations {
		list = append(list, duration.Seconds())
	}
	return list
}
