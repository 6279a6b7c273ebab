package weights

// FloorEngines returns how many of the engines of a pool or cell must stay in
// service during a rollout, given the floor in percent (0 to 100), rounded up. A
// floor below 100 % always allows one engine to load, since a small pool could not
// be updated otherwise; the result is then -1 for 0 engines.
//
// The coordinator applies it per pool and the dispatcher per cell. Because each
// rounds separately, a cell may start fewer loads than its allotment.
func FloorEngines(engines, percent int) int {
	const fullPercent = 100
	floor := (engines*percent + fullPercent - 1) / fullPercent
	if percent < fullPercent {
		floor = min(floor, engines-1)
	}
	return floor
}
