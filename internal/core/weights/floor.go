package weights

// FloorEngines returns how many of some engines (a pool, or a cell) must stay in
// service during a rollout, when percent (0 to 100) of them must: rounded up to
// whole engines. A floor below 100 % always leaves one engine free to load, as a
// small pool would otherwise never get new weights; with no engines, that is -1.
//
// The coordinator applies it to a pool and the dispatcher to its cell; as each is
// rounded by itself, the cell may order fewer loads at once than it was allotted.
func FloorEngines(engines, percent int) int {
	const whole = 100
	floor := (engines*percent + whole - 1) / whole
	if percent < whole {
		floor = min(floor, engines-1)
	}
	return floor
}
