package tables

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/cluster"
	"github.com/corkpulley/corkpulley/internal/core/policy"
	"github.com/corkpulley/corkpulley/internal/peer"
)

const (
	// fetchTimeout bounds one MethodTable call.
	fetchTimeout = 2 * time.Second
	// fetchRetry is the pause after no member ahead gave its table.
	fetchRetry = time.Second
	// wholeTable is asked for in place of a revision to get all rows.
	wholeTable int64 = -1
)

// tableRequest asks a peer for its table.
type tableRequest struct {
	// Revision that the asking node has; wholeTable for all rows.
	Revision int64 `msgpack:"r"`
}

// tableResponse is a peer's table: whole, or as changes from the revision asked
// with. Neither is set when the peer has no higher revision.
type tableResponse struct {
	// Ready tells that the peer itself once knew the highest revision.
	Ready    bool               `msgpack:"ok"`
	Revision int64              `msgpack:"r"`
	Whole    bool               `msgpack:"w,omitempty"`
	Rows     []policy.Row       `msgpack:"rows,omitempty"`
	Changes  []policy.RowChange `msgpack:"c,omitempty"`
}

// handleTable answers MethodTable.
func (t *Tables) handleTable(_ context.Context, request peer.Request) (any, error) {
	var asked tableRequest
	if err := request.Decode(&asked); err != nil {
		return nil, err
	}
	table := t.Table()
	response := &tableResponse{Ready: t.started.Load(), Revision: table.Revision}
	if asked.Revision >= table.Revision {
		return response, nil
	}
	base, kept := t.recentTable(asked.Revision)
	if kept {
		response.Changes = policy.Diff(base.Rows, table.Rows)
	}
	if !kept || len(response.Changes) > len(table.Rows) {
		response.Changes = nil
		response.Whole = true
		response.Rows = table.Rows
	}
	return response, nil
}

// followPeers fetches a revision as soon as a member announces a higher one.
func (t *Tables) followPeers(ctx context.Context) error {
	for {
		delay := peersInterval
		if !t.fetchHigher(ctx) {
			delay = fetchRetry
		}
		if err := pause(ctx, delay); err != nil {
			return err
		}
	}
}

// fetchHigher asks the members that announce a higher revision, the highest
// first, until one has given it. It reports false when none did.
func (t *Tables) fetchHigher(ctx context.Context) bool {
	ahead := t.membersAhead()
	for _, member := range ahead {
		if member.TableRevision <= t.Table().Revision {
			return true
		}
		if _, err := t.fetch(ctx, member.Address); err != nil {
			t.options.Logger.Warn().Err(err).Str("member", member.ID).Msg("table fetch failed")
		}
	}
	return len(ahead) == 0 || ahead[0].TableRevision <= t.Table().Revision
}

func (t *Tables) membersAhead() []cluster.Member {
	revision := t.Table().Revision
	ahead := slices.DeleteFunc(t.others(), func(member cluster.Member) bool {
		return member.TableRevision <= revision
	})
	// Nodes that learn of a revision at once should not all ask the same one.
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] })
	slices.SortStableFunc(ahead, func(a, b cluster.Member) int {
		return cmp.Compare(b.TableRevision, a.TableRevision)
	})
	return ahead
}

// others returns the known members without this node.
func (t *Tables) others() []cluster.Member {
	self := t.options.View.Self().ID
	var others []cluster.Member
	for _, member := range t.options.View.Members() {
		if member.ID != self {
			others = append(others, member)
		}
	}
	return others
}

// fetch asks one peer for what it has above this node's revision, adopts it,
// and reports whether the peer is ready.
func (t *Tables) fetch(ctx context.Context, address string) (ready bool, err error) {
	base := t.Table()
	response, err := t.call(ctx, address, base.Revision)
	if err != nil {
		return false, err
	}
	if response.Revision <= base.Revision {
		return response.Ready, nil
	}
	table, err := response.table(base)
	if errors.Is(err, policy.ErrChangeMismatch) {
		table, err = t.fetchWhole(ctx, address)
	}
	if err != nil {
		return false, err
	}
	t.adopt(table, "peer")
	return response.Ready, nil
}

func (t *Tables) fetchWhole(ctx context.Context, address string) (*policy.Table, error) {
	response, err := t.call(ctx, address, wholeTable)
	if err != nil {
		return nil, err
	}
	return response.table(&policy.Table{})
}

func (t *Tables) call(ctx context.Context, address string, revision int64) (tableResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response tableResponse
	request := &tableRequest{Revision: revision}
	if err := t.options.Caller.Call(ctx, address, peer.MethodTable, request, &response); err != nil {
		return tableResponse{}, errors.Wrap(err, "ask peer for its table")
	}
	return response, nil
}

// table builds the peer's table, from the base that was asked with when the
// response carries changes.
func (r *tableResponse) table(base *policy.Table) (*policy.Table, error) {
	if r.Whole {
		return &policy.Table{Revision: r.Revision, Rows: r.Rows}, nil
	}
	rows, err := policy.ApplyChanges(base.Rows, r.Changes)
	if err != nil {
		return nil, err
	}
	return &policy.Table{Revision: r.Revision, Rows: rows}, nil
}
