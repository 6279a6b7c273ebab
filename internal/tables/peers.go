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
	// fetchRetryInterval is the delay after all fetches from members with a higher revision failed.
	fetchRetryInterval = time.Second
	// fullTable in place of a revision requests all rows.
	fullTable int64 = -1
)

// tableRequest requests a peer's table.
type tableRequest struct {
	// Revision is the requesting node's revision, or fullTable for all rows.
	Revision int64 `msgpack:"r"`
}

// tableResponse is a peer's table: all rows, or the changes since the requested
// revision. Neither is set when the peer has no higher revision.
type tableResponse struct {
	// Ready is true once the peer has loaded the latest revision.
	Ready    bool               `msgpack:"ok"`
	Revision int64              `msgpack:"r"`
	Full     bool               `msgpack:"w,omitempty"`
	Rows     []policy.Row       `msgpack:"rows,omitempty"`
	Changes  []policy.RowChange `msgpack:"c,omitempty"`
}

// handleTable answers MethodTable.
func (t *Tables) handleTable(_ context.Context, request peer.Request) (any, error) {
	var query tableRequest
	if err := request.Decode(&query); err != nil {
		return nil, err
	}
	table := t.Table()
	response := &tableResponse{Ready: t.caughtUp.Load(), Revision: table.Revision}
	if query.Revision >= table.Revision {
		return response, nil
	}
	base, kept := t.recentTable(query.Revision)
	if kept {
		response.Changes = policy.Diff(base.Rows, table.Rows)
	}
	if !kept || len(response.Changes) > len(table.Rows) {
		response.Changes = nil
		response.Full = true
		response.Rows = table.Rows
	}
	return response, nil
}

// watchPeers fetches the table from members that announce a higher revision than this node's.
func (t *Tables) watchPeers(ctx context.Context) error {
	for {
		delay := peerPollInterval
		if !t.fetchHigher(ctx) {
			delay = fetchRetryInterval
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// fetchHigher fetches from the members that announce a higher revision, highest
// first, until one succeeds. It reports false when all fail.
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

// membersAhead returns the members that announce a higher revision than this node's, highest first.
func (t *Tables) membersAhead() []cluster.Member {
	revision := t.Table().Revision
	ahead := slices.DeleteFunc(t.otherMembers(), func(member cluster.Member) bool {
		return member.TableRevision <= revision
	})
	// Spread the load: many nodes may notice a new revision at the same time.
	rand.Shuffle(len(ahead), func(i, j int) { ahead[i], ahead[j] = ahead[j], ahead[i] })
	slices.SortStableFunc(ahead, func(a, b cluster.Member) int {
		return cmp.Compare(b.TableRevision, a.TableRevision)
	})
	return ahead
}

// otherMembers returns the known members except this node.
func (t *Tables) otherMembers() []cluster.Member {
	self := t.options.View.Self().ID
	var others []cluster.Member
	for _, member := range t.options.View.Members() {
		if member.ID != self {
			others = append(others, member)
		}
	}
	return others
}

// fetch adopts the peer's table if its revision is higher and reports whether
// the peer is ready.
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
		table, err = t.fetchFull(ctx, address)
	}
	if err != nil {
		return false, err
	}
	t.adopt(table, "peer")
	return response.Ready, nil
}

func (t *Tables) fetchFull(ctx context.Context, address string) (*policy.Table, error) {
	response, err := t.call(ctx, address, fullTable)
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
		return tableResponse{}, errors.Wrap(err, "fetch table from peer")
	}
	return response, nil
}

// table returns the peer's table, applying the changes to base unless the
// response contains all rows.
func (r *tableResponse) table(base *policy.Table) (*policy.Table, error) {
	if r.Full {
		return &policy.Table{Revision: r.Revision, Rows: r.Rows}, nil
	}
	rows, err := policy.ApplyChanges(base.Rows, r.Changes)
	if err != nil {
		return nil, err
	}
	return &policy.Table{Revision: r.Revision, Rows: rows}, nil
}
