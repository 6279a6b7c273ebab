package batch

// groups tells when the submitter of a job may have all that it waits for: as many
// whole groups as it wants, and all that came again from an earlier job. These
// stand first and are at most half as many. Where their number is not known, each
// of the first ones that becomes whole late may be the last of them.
type groups struct {
	wanted int
	// left counts the items without a result of each group.
	left map[string]int
	// awaited holds the groups that came again, or that may have, and are not whole;
	// exact is true when they did.
	awaited map[string]bool
	exact   bool
	whole   int
	// milestone is the number of results at the newest such moment.
	milestone int
}

// returnedShare is one in how many of the wanted groups may have come again.
const returnedShare = 2

func newGroups(record JobRecord) groups {
	g := groups{
		wanted: record.Wanted, left: make(map[string]int), awaited: make(map[string]bool), exact: record.ReturnedKnown,
	}
	returned := record.Wanted / returnedShare
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

// listed takes the result of an item of the group, the latest of so many.
func (g *groups) listed(group string, results int) {
	g.left[group]--
	if g.left[group] > 0 {
		return
	}
	g.whole++
	late := g.awaited[group]
	delete(g.awaited, group)
	enough := g.whole >= g.wanted && (!g.exact || len(g.awaited) == 0)
	if enough && (g.whole == g.wanted || late || g.whole == len(g.left)) {
		g.milestone = results
	}
}

// leadingGroups returns the names of the job's groups in the order in which they
// first appear, at most so many.
func (j *JobRecord) leadingGroups(most int) []string {
	var names []string
	seen := make(map[string]bool)
	for _, item := range j.Items {
		if len(names) == most {
			break
		}
		if !seen[item.Group] {
			seen[item.Group] = true
			names = append(names, item.Group)
		}
	}
	return names
}

// EarlierJob is what a job's groups are compared with.
type EarlierJob struct {
	Step   int64
	Groups map[string]bool
}

const (
	// stepsBefore are the steps before a job that must be known to tell which groups
	// came again: a submitter asks for one step ahead, so they come from the second
	// one before.
	stepsBefore = 2
	// stepsCompared are the steps before a job whose groups are compared.
	stepsCompared = 4
)

// CountReturned sets how many leading groups of the job stood in one of the earlier
// jobs of its model, if these are known.
func (j *JobRecord) CountReturned(earlier []EarlierJob) {
	steps := make(map[int64]bool)
	for _, job := range earlier {
		steps[job.Step] = true
	}
	for step := max(0, j.Step-stepsBefore); step < j.Step; step++ {
		if !steps[step] {
			return
		}
	}
	j.ReturnedKnown = true
	for _, name := range j.leadingGroups(j.Wanted / returnedShare) {
		if !anyHas(earlier, name) {
			return
		}
		j.Returned++
	}
}

func anyHas(jobs []EarlierJob, group string) bool {
	for _, job := range jobs {
		if job.Groups[group] {
			return true
		}
	}
	return false
}
