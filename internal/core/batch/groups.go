package batch

// groups determines when the submitter of a job may have everything that it waits for:
// as many complete groups as it wants, and all groups that return from an earlier job.
// Returned groups come first and are at most half as many as wanted. If their number is
// unknown, each of the first groups that completes late may be the last one.
type groups struct {
	wanted int
	// left counts the items without a result by group.
	left map[string]int
	// awaited holds the incomplete groups that return from an earlier job, or may;
	// exact is true when they are known to.
	awaited map[string]bool
	exact   bool
	// complete counts the groups without missing results.
	complete int
	// milestone is the number of results when the submitter last may have had everything.
	milestone int
}

// maxReturnedDivisor: at most wanted/maxReturnedDivisor groups return from earlier jobs.
const maxReturnedDivisor = 2

func newGroups(record JobRecord) groups {
	g := groups{
		wanted: record.Wanted, left: make(map[string]int), awaited: make(map[string]bool), exact: record.ReturnedKnown,
	}
	returned := record.Wanted / maxReturnedDivisor
	if record.ReturnedKnown {
		returned = record.Returned
	}
	for _, item := range record.Items {
		if g.left[item.Group] == 0 && len(g.awaited) < returned {
			g.awaited[item.Group] = true
		}
		g.left[item.Group]++
	}
	return g
}

// addResult counts a result of the group; results is the job's number of results with it.
func (g *groups) addResult(group string, results int) {
	g.left[group]--
	if g.left[group] > 0 {
		return
	}
	g.complete++
	late := g.awaited[group]
	delete(g.awaited, group)
	enough := g.complete >= g.wanted && (!g.exact || len(g.awaited) == 0)
	if enough && (g.complete == g.wanted || late || g.complete == len(g.left)) {
		g.milestone = results
	}
}

// leadingGroups returns the names of the job's first groups in the order of their items,
// at most the given number.
func (j *JobRecord) leadingGroups(limit int) []string {
	var names []string
	seen := make(map[string]bool)
	for _, item := range j.Items {
		if len(names) == limit {
			break
		}
		if !seen[item.Group] {
			seen[item.Group] = true
			names = append(names, item.Group)
		}
	}
	return names
}

// EarlierJob is a job of an earlier step with its groups.
type EarlierJob struct {
	Step   int64
	Groups map[string]bool
}

const (
	// requiredSteps is the number of preceding steps that must be known to determine the
	// returned groups: submitters run one step ahead, so groups return two steps later.
	requiredSteps = 2
	// comparedSteps is the number of preceding steps whose groups are compared.
	comparedSteps = 4
)

// CountReturned sets how many leading groups of the job return from one of the earlier
// jobs of its model, if these are known.
func (j *JobRecord) CountReturned(earlier []EarlierJob) {
	steps := make(map[int64]bool)
	for _, job := range earlier {
		steps[job.Step] = true
	}
	for step := max(0, j.Step-requiredSteps); step < j.Step; step++ {
		if !steps[step] {
			return
		}
	}
	j.ReturnedKnown = true
	for _, name := range j.leadingGroups(j.Wanted / maxReturnedDivisor) {
		if !containsGroup(earlier, name) {
			return
		}
		j.Returned++
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
