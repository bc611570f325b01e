package entry

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/admin"
	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// inForcePollInterval is how often a waiting command checks whether it is in
// force.
const inForcePollInterval = 20 * time.Millisecond

// Jobs returns the jobs of all cells.
func (e *Entry) Jobs(ctx context.Context) ([]api.JobRow, error) {
	rows, _, err := inspectAll[api.JobRow](ctx, e, kindJobs, nil)
	return rows, err
}

// Endpoints returns the endpoints that have attached to the owners of all cells.
func (e *Entry) Endpoints(ctx context.Context) ([]api.EndpointRow, error) {
	rows, _, err := inspectAll[api.EndpointRow](ctx, e, kindEndpoints, nil)
	return rows, err
}

// FailureDomains returns the failure domains in the settings, those that
// endpoints announced, and those that are out of service.
func (e *Entry) FailureDomains(ctx context.Context) ([]api.FailureDomainRow, error) {
	endpoints, err := e.Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	d := e.control.Document()
	byName := map[string]*api.FailureDomainRow{}
	row := func(name string) *api.FailureDomainRow {
		r := byName[name]
		if r == nil {
			r = &api.FailureDomainRow{Name: name, State: sched.StateInService}
			byName[name] = r
		}
		return r
	}
	for _, name := range e.settings.FailureDomains {
		row(name)
	}
	for _, ep := range endpoints {
		r := row(ep.FailureDomain)
		r.Endpoints++
		r.Slots += ep.Slots
		r.Running += ep.Running
	}
	for _, name := range d.Config.DomainsOut {
		row(name).State = sched.StateOutOfService
	}
	var rows []api.FailureDomainRow
	for _, r := range byName {
		rows = append(rows, *r)
	}
	return rows, nil
}

// Entries returns the entries on the roster. The state of an entry that does not
// answer is "silent".
func (e *Entry) Entries(ctx context.Context) ([]api.EntryRow, error) {
	rows, silent, err := inspectAll[api.EntryRow](ctx, e, kindEntries, nil)
	for _, m := range silent {
		rows = append(rows, api.EntryRow{ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: "silent"})
	}
	return rows, err
}

// Teams returns the teams with their quotas and current load.
func (e *Entry) Teams(ctx context.Context) ([]api.TeamRow, error) {
	loads, _, err := inspectAll[cell.TeamLoad](ctx, e, kindTeams, nil)
	if err != nil {
		return nil, err
	}
	var rows []api.TeamRow
	for _, t := range e.control.Document().Config.Teams {
		row := api.TeamRow{Name: t.Name, Weight: t.Weight, MaxRunning: t.MaxRunning, MaxQueued: t.MaxQueued, Domains: t.Domains}
		for _, l := range loads {
			if l.Team == t.Name {
				row.Running += l.Running
				row.Waiting += l.Waiting
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Changes returns the most recent configuration changes.
func (e *Entry) Changes(context.Context) ([]api.ChangeRow, error) {
	d := e.control.Document()
	if d == nil {
		return nil, result.Errorf(result.StoreUnavailable, "this entry has not read a control document yet")
	}
	var rows []api.ChangeRow
	for _, h := range d.History {
		rows = append(rows, api.ChangeRow{Revision: h.Revision, Who: h.Operator, What: h.Statement, At: h.At})
	}
	return rows, nil
}

// Apply makes an operator's edit, and then waits until it is in force, but no
// longer than wait.
func (e *Entry) Apply(ctx context.Context, edit control.Edit, wait time.Duration) (admin.EditResult, error) {
	if err := e.checkNames(ctx, edit); err != nil {
		return admin.EditResult{}, err
	}
	edit.KnownRevision = e.documentRevision()
	wctx, cancel := context.WithTimeout(ctx, max(wait, e.settings.StoreTimeout.Std()))
	defer cancel()
	// examined is the revision that needed no change. By the time of the reply another
	// operator may have created a later one, in which the opposite holds.
	var examined uint64
	next, err := e.writer.Write(wctx, func(d *control.Document, op string) (*control.Document, error) {
		examined = d.Revision
		if edit.RemoveMember != "" {
			return e.removeMember(d, edit, op)
		}
		return control.ApplyEdit(d, edit, op, time.Now())
	})
	if err != nil {
		return admin.EditResult{Revision: e.documentRevision()}, err
	}
	if next != nil {
		e.log.Info("configuration changed", zap.String("who", edit.Operator), zap.String("what", edit.Statement), zap.Uint64("revision", next.Revision))
	}
	res := admin.EditResult{Revision: examined, Changed: next != nil}
	if next != nil {
		res.Revision = next.Revision
	}
	e.awaitInForce(ctx, &res, wait)
	return res, nil
}

func (e *Entry) documentRevision() uint64 {
	if d := e.control.Document(); d != nil {
		return d.Revision
	}
	return 0
}

func (e *Entry) removeMember(d *control.Document, edit control.Edit, op string) (*control.Document, error) {
	if !d.HasMember(edit.RemoveMember) {
		return nil, result.Errorf(result.CommandRefused, "there is no entry %q on the roster", edit.RemoveMember)
	}
	return control.RemoveMember(d, edit.RemoveMember, op, true, e.control.Acked(d.Revision))
}

// checkNames rejects taking an unknown failure domain or endpoint out of
// service, since its name is probably misspelled. Returning to service is always
// allowed. While an entry does not answer, every name is allowed, because that
// entry might know it.
func (e *Entry) checkNames(ctx context.Context, edit control.Edit) error {
	domainOut := edit.Domain != nil && edit.Domain.Out
	endpointOut := edit.Endpoint != nil && edit.Endpoint.Out
	if !domainOut && !endpointOut {
		return nil
	}
	rows, silent, err := inspectAll[api.EndpointRow](ctx, e, kindEndpoints, nil)
	if err != nil {
		return err
	}
	if len(silent) > 0 {
		return nil
	}
	if domainOut && !e.knowsDomain(rows, edit.Domain.Name) {
		return result.Errorf(result.CommandRefused, "unknown failure domain %q", edit.Domain.Name)
	}
	isNamed := func(r api.EndpointRow) bool { return r.Name == edit.Endpoint.Name }
	if endpointOut && !slices.ContainsFunc(rows, isNamed) {
		return result.Errorf(result.CommandRefused, "unknown endpoint %q", edit.Endpoint.Name)
	}
	return nil
}

// knowsDomain reports whether the settings, an endpoint in rows or the control
// document names the failure domain.
func (e *Entry) knowsDomain(rows []api.EndpointRow, name string) bool {
	announced := func(r api.EndpointRow) bool { return r.FailureDomain == name }
	return slices.Contains(e.settings.FailureDomains, name) ||
		slices.ContainsFunc(rows, announced) ||
		slices.Contains(e.control.Document().Config.DomainsOut, name)
}

// awaitInForce waits until the revision is accepted and every entry and agent
// has confirmed it, but no longer than wait.
func (e *Entry) awaitInForce(ctx context.Context, res *admin.EditResult, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for {
		d := e.control.Document()
		res.Accepted = control.Accepted(d, e.control.Acked(res.Revision))
		res.Unconfirmed = e.unconfirmed(ctx, res.Revision)
		res.InForce = res.Accepted && len(res.Unconfirmed) == 0
		if res.InForce || !time.Now().Before(deadline) || ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, inForcePollInterval)
	}
}

func (e *Entry) unconfirmed(ctx context.Context, revision uint64) []string {
	names := e.control.Unacked(revision)
	agents, silent, err := inspectAll[string](ctx, e, kindUnapplied, nil)
	if err != nil {
		return append(names, "agents")
	}
	names = append(names, agents...)
	for _, m := range silent {
		if name := "entry " + m.ID; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Cancel cancels jobs at the owners of their cells, and returns for how many of
// them an owner accepted the cancellation.
func (e *Entry) Cancel(ctx context.Context, who string, ids []string) (int, error) {
	n := 0
	for _, text := range ids {
		id, err := parseSubmissionID(text)
		if err != nil {
			return n, err
		}
		done, _, err := inspectAll[bool](ctx, e, kindCancel, id[:])
		if err != nil {
			return n, err
		}
		if len(done) > 0 {
			n++
		}
	}
	e.log.Info("jobs cancelled", zap.String("who", who), zap.Int("jobs", n))
	return n, nil
}

func uuidString(id []byte) string { return uuid.UUID(id).String() }
