package workload

import "time"

const nameOdalaigh = "odalaigh"

// odalaigh returns a workload with three zones, eleven drafting engines shared by
// two trainers and a live service, and three engines for a live service whose
// requests must be executed at most once. Its staleness bound is one version.
func odalaigh() *Workload {
	permits := newLiveService("permit-desk", "permit", "permit", 20)
	permits.Keyed = true
	return &Workload{
		Name:          nameOdalaigh,
		Region:        "connacht",
		Zones:         []string{"galway", "westport", "ballina"},
		ZoneLatency:   time.Millisecond,
		ClientLatency: 3 * time.Millisecond,
		TimeScale:     timeScale,
		Pools: []Pool{
			newPool("drafting", 11, "reply", "licence-replies", "season-rules"),
			newPool("permit", 3, "permit"),
		},
		Live: []LiveService{
			newLiveService("reply-lookup", "drafting", "reply", 60),
			permits,
		},
		Trainers: []Trainer{
			newTrainer("licence-replies", "drafting", 1),
			newTrainer("season-rules", "drafting", 1),
		},
	}
}
