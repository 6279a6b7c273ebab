package experiment

import "time"

// stepWork holds the total tokens of a step's accepted samples and the tokens of the longest one.
type stepWork struct {
	tokens  int
	longest int
}

// boundInput describes trainers that share engines. Trainers advance in
// lockstep: step k of every trainer is generated before step k+1 of any.
type boundInput struct {
	// steps holds the steps of each trainer, in order. Other slices are indexed by trainer as well.
	steps [][]stepWork
	// stepsAhead is the number of steps submitted ahead of the one being trained, trainTime the time to train one.
	stepsAhead []int
	trainTime  []time.Duration
	// tokensPerSecond is the engines' capacity for trainers; decodeStep is the
	// time per token of a request in a batch of one.
	tokensPerSecond float64
	decodeStep      time.Duration
}

// lowerBound returns a lower bound of each trainer's idle time. A step's samples
// are complete no earlier than max(total work so far / capacity, submission time +
// longest sample * decodeStep). A step is submitted when the trainer starts the
// step that is stepsAhead steps earlier. Scoring, the log and weight updates are assumed to take no time.
func lowerBound(input boundInput) []time.Duration {
	idle := make([]time.Duration, len(input.steps))
	started := make([][]time.Duration, len(input.steps))
	available := make([]time.Duration, len(input.steps))
	work := 0
	for step := range maxSteps(input.steps) {
		work += tokensInStep(input.steps, step)
		workDone := time.Duration(float64(work) / input.tokensPerSecond * float64(time.Second))
		for trainer, steps := range input.steps {
			if step >= len(steps) {
				continue
			}
			begin := available[trainer]
			started[trainer] = append(started[trainer], begin)
			submitted := started[trainer][max(0, step-input.stepsAhead[trainer])]
			longest := time.Duration(steps[step].longest) * input.decodeStep
			complete := max(begin, workDone, submitted+longest)
			idle[trainer] += complete - begin
			available[trainer] = complete + input.trainTime[trainer]
		}
	}
	return idle
}

func maxSteps(trainers [][]stepWork) int {
	most := 0
	for _, steps := range trainers {
		most = max(most, len(steps))
	}
	return most
}

func tokensInStep(trainers [][]stepWork, step int) int {
	work := 0
	for _, steps := range trainers {
		if step < len(steps) {
			work += steps[step].tokens
		}
	}
	return work
}
