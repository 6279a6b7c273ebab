package experiment

import "time"

// stepWork is what one step needs at least, by its accepted samples.
type stepWork struct {
	tokens  int
	longest int
}

// boundInput describes trainers that share engines. Trainers advance together:
// step k of each is part of the work that comes before step k+1 of any.
type boundInput struct {
	// steps holds the steps of each trainer, in order.
	steps [][]stepWork
	// ahead and trainTime are those of each trainer.
	ahead     []int
	trainTime []time.Duration
	// tokensPerSecond is what the engines can make for trainers; decodeStep is
	// the time of one token of an answer that runs alone.
	tokensPerSecond float64
	decodeStep      time.Duration
}

// lowerBound returns for each trainer the least time that it can be idle. A
// step's samples are whole no sooner than max(total work so far / capacity,
// submission + longest sample), the longest running alone and without a pause;
// a step is submitted when the trainer begins the one that lies ahead steps
// before it. Scoring, the log and weight changes count as free.
func lowerBound(input boundInput) []time.Duration {
	idle := make([]time.Duration, len(input.steps))
	begins := make([][]time.Duration, len(input.steps))
	free := make([]time.Duration, len(input.steps))
	work := 0
	for step := range mostSteps(input.steps) {
		work += workOf(input.steps, step)
		worked := time.Duration(float64(work) / input.tokensPerSecond * float64(time.Second))
		for trainer, steps := range input.steps {
			if step >= len(steps) {
				continue
			}
			begin := free[trainer]
			begins[trainer] = append(begins[trainer], begin)
			submitted := begins[trainer][max(0, step-input.ahead[trainer])]
			longest := time.Duration(steps[step].longest) * input.decodeStep
			whole := max(begin, worked, submitted+longest)
			idle[trainer] += whole - begin
			free[trainer] = whole + input.trainTime[trainer]
		}
	}
	return idle
}

func mostSteps(trainers [][]stepWork) int {
	most := 0
	for _, steps := range trainers {
		most = max(most, len(steps))
	}
	return most
}

func workOf(trainers [][]stepWork, step int) int {
	work := 0
	for _, steps := range trainers {
		if step < len(steps) {
			work += steps[step].tokens
		}
	}
	return work
}
