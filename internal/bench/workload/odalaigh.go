package workload

import "time"

const nameOdalaigh = "odalaigh"

// odalaigh is the licence firm: three halls, eleven drafting engines that two
// trainers share with live replies, and three engines for the permit desk, whose
// permits are issued at most once. Stale drafts cost it most, so its staleness
// bound is one version.
func odalaigh() *Workload {
	permits := lookup("permit-desk", "permit", "permit", 20)
	permits.Keyed = true
	return &Workload{
		Name:          nameOdalaigh,
		Region:        "connacht",
		Zones:         []string{"galway", "westport", "ballina"},
		ZoneLatency:   time.Millisecond,
		ClientLatency: 3 * time.Millisecond,
		TimeScale:     timeScale,
		Pools: []Pool{
			enginePool("drafting", 11, "reply", "licence-replies", "season-rules"),
			enginePool("permit", 3, "permit"),
		},
		Live: []LiveService{
			lookup("reply-lookup", "drafting", "reply", 60),
			permits,
		},
		Trainers: []Trainer{
			sampleTrainer("licence-replies", "drafting", 1),
			sampleTrainer("season-rules", "drafting", 1),
		},
	}
}
