package batch

// groups tells when the submitter of a job may have all that it waits for: as many
// whole groups as it wants, and those that came again from an earlier job, which
// stand first and are at most half as many. Which of the first ones those are is
// not told, so each of them that becomes whole late may be the last one.
type groups struct {
	wanted int
	// left counts the items without a result of each group.
	left map[string]int
	// first holds the groups that may have come again.
	first map[string]bool
	whole int
	// milestone is the number of results at the newest such moment.
	milestone int
}

// returnedShare is one in how many of the wanted groups may have come again.
const returnedShare = 2

func newGroups(record JobRecord) groups {
	g := groups{wanted: record.Wanted, left: make(map[string]int), first: make(map[string]bool)}
	for _, item := range record.Items {
		if g.left[item.Group] == 0 && len(g.first) < record.Wanted/returnedShare {
			g.first[item.Group] = true
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
	switch {
	case g.whole < g.wanted:
	case g.whole == g.wanted, g.first[group], g.whole == len(g.left):
		g.milestone = results
	}
}
