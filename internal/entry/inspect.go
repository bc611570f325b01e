package entry

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// inspectTimeout bounds the requests to all entries for their rows.
const inspectTimeout = 2 * time.Second

// The kinds of Inspect requests between entries.
const (
	kindJobs      = "jobs"
	kindEndpoints = "endpoints"
	kindEntries   = "entries"
	kindTeams     = "teams"
	kindAnswer    = "answer"
	kindCancel    = "cancel"
	kindUnapplied = "unapplied"
)

var (
	errUnknownKind = errors.New("unknown kind of inspect request")
	errUnconfirmed = errors.New("the answer was not confirmed before the request timed out")
)

// Inspect answers another entry's request for the rows that are held here. A
// request of kindCancel also cancels the job.
func (e *Entry) Inspect(ctx context.Context, req *connect.Request[pb.InspectRequest]) (*connect.Response[pb.InspectResponse], error) {
	rows, err := e.inspectLocal(ctx, req.Msg.GetKind(), req.Msg.GetId())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	body, err := json.Marshal(rows)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&pb.InspectResponse{Rows: body}), nil
}

func (e *Entry) inspectLocal(ctx context.Context, kind string, id []byte) (any, error) {
	switch kind {
	case kindJobs:
		return collectFromCells(e, func(c *cell.Cell) []api.JobRow { return c.Jobs(time.Now()) }), nil
	case kindEndpoints:
		return collectFromCells(e, func(c *cell.Cell) []api.EndpointRow { return c.Endpoints(time.Now()) }), nil
	case kindTeams:
		return collectFromCells(e, (*cell.Cell).TeamLoads), nil
	case kindUnapplied:
		d := e.control.Document()
		return collectFromCells(e, func(c *cell.Cell) []string { return c.UnappliedAgents(d.Revision, time.Now()) }), nil
	case kindEntries:
		return []api.EntryRow{e.entryRow()}, nil
	case kindAnswer:
		return e.localAnswer(ctx, id)
	case kindCancel:
		return e.cancelLocal(id), nil
	}
	return nil, errUnknownKind
}

func collectFromCells[T any](e *Entry, rows func(*cell.Cell) []T) []T {
	all := []T{}
	for _, c := range e.ownership.Cells() {
		all = append(all, rows(c)...)
	}
	return all
}

// jobStatus is a job's state and, after its end, its answer.
type jobStatus = api.JobStatus

func (e *Entry) localAnswer(ctx context.Context, id []byte) ([]jobStatus, error) {
	if len(id) != len(sched.Key{}) {
		return nil, nil
	}
	for _, c := range e.ownership.Cells() {
		state, a, team := c.Lookup(sched.Key(id))
		if state == "" {
			continue
		}
		found := jobStatus{Team: team, State: state}
		if a != nil {
			a = e.awaitConfirmation(ctx, a)
			if a == nil {
				return nil, errUnconfirmed
			}
			if result.Code(a.GetCode()) == result.NotOwner {
				continue
			}
			answer := toAPI(uuidString(id), a)
			found.Answer = &answer
		}
		return []jobStatus{found}, nil
	}
	return nil, nil
}

// awaitConfirmation waits until the answer may be given to a caller, and returns
// what answerConfirmer delivers for it, or nil if ctx ends first.
func (e *Entry) awaitConfirmation(ctx context.Context, a *pb.Answer) *pb.Answer {
	delivered := make(chan *pb.Answer, 1)
	e.confirmer.Deliver(a, func(a *pb.Answer) { delivered <- a })
	select {
	case a := <-delivered:
		return a
	case <-ctx.Done():
		return nil
	}
}

func (e *Entry) cancelLocal(id []byte) []bool {
	if len(id) != len(sched.Key{}) {
		return nil
	}
	e.relay.MarkCancelled(sched.Key(id))
	var done []bool
	for _, c := range e.ownership.Cells() {
		if c.Cancel(sched.Key(id), time.Now()) {
			done = append(done, true)
		}
	}
	return done
}

func (e *Entry) entryRow() api.EntryRow {
	d := e.control.Document()
	row := api.EntryRow{ID: e.id, Address: e.settings.Peer, FailureDomain: e.settings.FailureDomain, State: "joining"}
	if d == nil {
		return row
	}
	now := time.Now()
	age := now.Sub(e.control.ConfirmedAt(now))
	switch {
	case e.control.Leaving():
		row.State = "leaving"
	case d.HasMember(e.id) && age < e.settings.Freshness.Std():
		row.State = "fresh"
	case d.HasMember(e.id):
		row.State = "stale"
	}
	row.Revision = d.Revision
	row.Cells = len(e.ownership.Cells())
	row.ConfirmationAgeMS = age.Milliseconds()
	return row
}

// inspectAll requests rows of a kind from every entry on the roster and
// concatenates them. It also returns the entries that did not answer.
func inspectAll[T any](ctx context.Context, e *Entry, kind string, id []byte) (rows []T, silent []control.Member, err error) {
	d := e.control.Document()
	if d == nil {
		return nil, nil, result.Errorf(result.StoreUnavailable, "this entry has not read a control document yet")
	}
	answers := make([][]T, len(d.Roster))
	failed := make([]bool, len(d.Roster))
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	var g errgroup.Group
	for i, m := range d.Roster {
		g.Go(func() error {
			var err error
			answers[i], err = inspectMember[T](ctx, e, m, kind, id)
			failed[i] = err != nil
			return nil
		})
	}
	_ = g.Wait()
	for i, m := range d.Roster {
		rows = append(rows, answers[i]...)
		if failed[i] {
			silent = append(silent, m)
		}
	}
	return rows, silent, nil
}

func inspectMember[T any](ctx context.Context, e *Entry, m control.Member, kind string, id []byte) ([]T, error) {
	var body []byte
	if m.ID == e.id {
		rows, err := e.inspectLocal(ctx, kind, id)
		if err != nil {
			return nil, err
		}
		if body, err = json.Marshal(rows); err != nil {
			return nil, err
		}
	} else {
		c := pomelosillv1connect.NewDispatchServiceClient(e.client, "http://"+m.Address)
		res, err := c.Inspect(ctx, connect.NewRequest(&pb.InspectRequest{Kind: kind, Id: id}))
		if err != nil {
			return nil, err
		}
		body = res.Msg.GetRows()
	}
	var rows []T
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, err
	}
	return rows, nil
}

// lookupJob returns a job's status from the entry that owns its cell.
func (e *Entry) lookupJob(ctx context.Context, id sched.Key) (*jobStatus, error) {
	found, silent, err := inspectAll[jobStatus](ctx, e, kindAnswer, id[:])
	if err != nil {
		return nil, err
	}
	if len(found) > 0 {
		return &found[0], nil
	}
	if len(silent) > 0 {
		return nil, result.Errorf(result.NoOwner, "entry %s did not answer", silent[0].ID)
	}
	return nil, result.Errorf(result.NotFound, "no owner has a job with this id")
}
