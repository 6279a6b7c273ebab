package batch

// groups determines when the submitter of a job may have all results that it waits for: the
// wanted number of complete groups, and all groups that are carried over from an earlier job, which
// had a group of the same name. Carried over groups are the first ones of the job and at most half
// of the wanted number. If their number is unknown, each of these first groups that completes after
// the wanted number may be the last one awaited.
type groups struct {
	wanted int
	// missing is the number of items without a result, by group.
	missing map[string]int
	// awaited holds the incomplete groups that are carried over from an earlier job; without
	// carriedOverKnown, those that may be.
	awaited          map[string]bool
	carriedOverKnown bool
	// complete is the number of groups without missing results.
	complete int
	// milestone is the value of Job.Milestone.
	milestone int
}

// maxCarriedOverDivisor bounds the groups carried over from earlier jobs to wanted/maxCarriedOverDivisor.
const maxCarriedOverDivisor = 2

func newGroups(record JobRecord) groups {
	g := groups{
		wanted: record.Wanted, missing: make(map[string]int), awaited: make(map[string]bool),
		carriedOverKnown: record.CarriedOverKnown,
	}
	carriedOver := record.MaxCarriedOver()
	for _, item := range record.Items {
		if g.missing[item.Group] == 0 && len(g.awaited) < carriedOver {
			g.awaited[item.Group] = true
		}
		g.missing[item.Group]++
	}
	return g
}

// MaxCarriedOver returns the number of leading groups that are or, if their number is unknown, may be carried over from
// earlier jobs.
func (j *JobRecord) MaxCarriedOver() int {
	if j.CarriedOverKnown {
		return j.CarriedOver
	}
	return j.Wanted / maxCarriedOverDivisor
}

// addResult counts a result of the group; results is the job's number of results, this one included.
func (g *groups) addResult(group string, results int) {
	g.missing[group]--
	if g.missing[group] > 0 {
		return
	}
	g.complete++
	wasAwaited := g.awaited[group]
	delete(g.awaited, group)
	enough := g.complete >= g.wanted && (!g.carriedOverKnown || len(g.awaited) == 0)
	if enough && (g.complete == g.wanted || wasAwaited || g.complete == len(g.missing)) {
		g.milestone = results
	}
}

// leadingGroups returns the names of at most limit groups, in the order of their first items.
func (j *JobRecord) leadingGroups(limit int) []string {
	var names []string
	included := make(map[string]bool)
	for _, item := range j.Items {
		if len(names) == limit {
			break
		}
		if !included[item.Group] {
			included[item.Group] = true
			names = append(names, item.Group)
		}
	}
	return names
}

// EarlierJob is a job of an earlier step.
type EarlierJob struct {
	Step   int64
	Groups map[string]bool
}

const (
	// requiredSteps is the number of preceding steps whose jobs must be known to count the groups
	// carried over: submitters run one step ahead, so groups are carried over by two steps.
	requiredSteps = 2
	// comparedSteps is the number of preceding steps whose groups are compared.
	comparedSteps = 4
)

// CountCarriedOver sets CarriedOverKnown and CarriedOver: how many leading groups of the job are carried
// over from the given earlier jobs. They stay unset unless the jobs of the preceding requiredSteps are
// among these.
func (j *JobRecord) CountCarriedOver(earlier []EarlierJob) {
	steps := make(map[int64]bool)
	for _, job := range earlier {
		steps[job.Step] = true
	}
	for step := max(0, j.Step-requiredSteps); step < j.Step; step++ {
		if !steps[step] {
			return
		}
	}
	j.CarriedOverKnown = true
	for _, name := range j.leadingGroups(j.Wanted / maxCarriedOverDivisor) {
		if !containsGroup(earlier, name) {
			return
		}
		j.CarriedOver++
	}
}

func containsGroup(jobs []EarlierJob, group string) bool {
	for _, job := range jobs {
		if job.Groups[group] {
			return true
		}
	}
	return false
}
