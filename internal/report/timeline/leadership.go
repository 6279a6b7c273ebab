package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const maxLeadershipEvents = 50000

// Everywhere is the scope of the leader of jobs that are not bound to home regions.
const Everywhere = "everywhere"

// TermEnd is the way in which the end of a term was determined.
type TermEnd string

const (
	// EndLogged: the node logged that it lost or released the leadership.
	EndLogged TermEnd = "logged"
	// EndAssumed: the node did not log the end; it is assumed to be the node's next start or stop or the start of the
	// next leader's term, whichever comes first.
	EndAssumed TermEnd = "assumed"
	// EndOpen: the node still led at the end of the logs.
	EndOpen TermEnd = "open"
)

// Term is a period in which a node led, according to its own log lines.
type Term struct {
	Node string
	// Scope is the home regions whose jobs it ran, or Everywhere.
	Scope      string
	Epoch      int64
	From, To   time.Time
	EndKnownBy TermEnd
}

// Takeover is a change of leader within a scope.
type Takeover struct {
	At       time.Time
	Scope    string
	From, To string
	// Vacancy is the time without a leader, negative if both nodes led according to their own lines. It is valid only
	// if IsVacancyKnown.
	Vacancy        time.Duration
	IsVacancyKnown bool
}

type leadershipRecord struct {
	Homes string `json:"homes"`
	Epoch int64  `json:"epoch"`
}

type leadershipEvent struct {
	at          int64
	node, scope string
	message     string
	epoch       int64
}

func (b *Builder) addLeadership(line header, raw []byte) error {
	var record leadershipRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	scope := cmp.Or(record.Homes, Everywhere)
	b.addLeadershipEvent(leadershipEvent{
		at: line.Time, node: line.Node, scope: scope, message: line.Message, epoch: record.Epoch,
	})
	return nil
}

func (b *Builder) addLeadershipEvent(event leadershipEvent) {
	if len(b.leadership) >= maxLeadershipEvents {
		b.timeline.Lines.Omitted++
		return
	}
	b.leadership = append(b.leadership, event)
}

// terms returns the leaders' terms in order of their start.
func (b *Builder) terms(last time.Time) []Term {
	slices.SortStableFunc(b.leadership, func(a, b leadershipEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.node, b.node))
	})
	var terms []Term
	open := map[termKey]int{}
	for _, event := range b.leadership {
		at := time.UnixMilli(event.at)
		switch event.message {
		case messageLeadershipGained:
			closeTerm(terms, open, termKey{event.node, event.scope}, at, EndAssumed)
			open[termKey{event.node, event.scope}] = len(terms)
			terms = append(terms, Term{Node: event.node, Scope: event.scope, Epoch: event.epoch, From: at, EndKnownBy: EndOpen})
		case messageLeadershipLost, messageLeadershipReleased:
			closeTerm(terms, open, termKey{event.node, event.scope}, at, EndLogged)
		default:
			for key := range open {
				if key.node == event.node {
					closeTerm(terms, open, key, at, EndAssumed)
				}
			}
		}
	}
	endUnlogged(terms, last)
	return terms
}

type termKey struct{ node, scope string }

func closeTerm(terms []Term, open map[termKey]int, key termKey, at time.Time, end TermEnd) {
	index, found := open[key]
	if !found {
		return
	}
	terms[index].To, terms[index].EndKnownBy = at, end
	delete(open, key)
}

// endUnlogged ends each term without a logged end no later than the start of the scope's next term.
func endUnlogged(terms []Term, last time.Time) {
	for i := range terms {
		term := &terms[i]
		if term.EndKnownBy == EndLogged {
			continue
		}
		if term.EndKnownBy == EndOpen {
			term.To = last
		}
		if next := nextLeader(terms[i+1:], term.Scope); next != nil && next.From.Before(term.To) {
			term.To, term.EndKnownBy = next.From, EndAssumed
		}
	}
}

func nextLeader(later []Term, scope string) *Term {
	for i := range later {
		if later[i].Scope == scope {
			return &later[i]
		}
	}
	return nil
}

// takeovers returns the changes of leader between the terms.
func takeovers(terms []Term) []Takeover {
	var changes []Takeover
	previous := map[string]Term{}
	for _, term := range terms {
		last, found := previous[term.Scope]
		previous[term.Scope] = term
		if !found {
			continue
		}
		change := Takeover{At: term.From, Scope: term.Scope, From: last.Node, To: term.Node}
		if last.EndKnownBy == EndLogged {
			change.Vacancy, change.IsVacancyKnown = term.From.Sub(last.To), true
		}
		changes = append(changes, change)
	}
	return changes
}
