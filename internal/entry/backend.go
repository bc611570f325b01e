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
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// inForcePollInterval is how often a waiting command looks whether it is in force.
const inForcePollInterval = 20 * time.Millisecond

// Jobs returns the jobs of every owner.
func (e *Entry) Jobs(ctx context.Context) ([]api.JobRow, error) {
	rows, _, err := inspectAll[api.JobRow](ctx, e, kindJobs, nil)
	return rows, err
}

// Endpoints returns the endpoints of every owner.
func (e *Entry) Endpoints(ctx context.Context) ([]api.EndpointRow, error) {
	rows, _, err := inspectAll[api.EndpointRow](ctx, e, kindEndpoints, nil)
	return rows, err
}

// FailureDomains returns the domains that endpoints announced or that the
// configuration names.
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

// Entries returns the entries on the roster; one that does not answer is
// shown as silent.
func (e *Entry) Entries(ctx context.Context) ([]api.EntryRow, error) {
	rows, silent, err := inspectAll[api.EntryRow](ctx, e, kindEntries, nil)
	for _, m := range silent {
		rows = append(rows, api.EntryRow{ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: "silent"})
	}
	return rows, err
}

// Teams returns the quotas with the present load.
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

// Changes returns the last changes of the configuration.
func (e *Entry) Changes(context.Context) ([]api.ChangeRow, error) {
	d := e.control.Document()
	if d == nil {
		return nil, result.Errorf(result.StoreUnavailable, "this entry has no control document yet")
	}
	var rows []api.ChangeRow
	for _, h := range d.History {
		rows = append(rows, api.ChangeRow{Revision: h.Revision, Who: h.Operator, What: h.Statement, At: h.At})
	}
	return rows, nil
}

// Apply makes an operator's edit and waits for it to be in force.
func (e *Entry) Apply(ctx context.Context, edit control.Edit, wait time.Duration) (admin.EditResult, error) {
	if err := e.checkNames(ctx, edit); err != nil {
		return admin.EditResult{}, err
	}
	edit.KnownRevision = e.documentRevision()
	wctx, cancel := context.WithTimeout(ctx, max(wait, e.settings.StoreTimeout.Std()))
	defer cancel()
	next, err := e.writer.Write(wctx, func(d *control.Document, op string) (*control.Document, error) {
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
	applied := admin.EditResult{Revision: e.documentRevision(), Changed: next != nil}
	if next != nil {
		applied.Revision = next.Revision
	}
	e.awaitInForce(ctx, &applied, wait)
	return applied, nil
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

// checkNames refuses names that no endpoint announced and no settings know,
// so that a typing error is not accepted as a command. Returning something to
// service is always allowed, and so is any name while an entry that might know
// it does not answer.
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
		return result.Errorf(result.CommandRefused, "no failure domain %q is known", edit.Domain.Name)
	}
	isNamed := func(r api.EndpointRow) bool { return r.Name == edit.Endpoint.Name }
	if endpointOut && !slices.ContainsFunc(rows, isNamed) {
		return result.Errorf(result.CommandRefused, "no endpoint %q is known", edit.Endpoint.Name)
	}
	return nil
}

// knowsDomain tells whether the settings, an endpoint or the configuration
// names a failure domain.
func (e *Entry) knowsDomain(rows []api.EndpointRow, name string) bool {
	announced := func(r api.EndpointRow) bool { return r.FailureDomain == name }
	return slices.Contains(e.settings.FailureDomains, name) ||
		slices.ContainsFunc(rows, announced) ||
		slices.Contains(e.control.Document().Config.DomainsOut, name)
}

// awaitInForce waits until the revision is accepted, and until every entry
// and agent has confirmed it, or wait is over.
func (e *Entry) awaitInForce(ctx context.Context, a *admin.EditResult, wait time.Duration) {
	until := time.Now().Add(wait)
	for {
		d := e.control.Document()
		a.Accepted = control.Accepted(d, e.control.Acked(a.Revision))
		a.Unconfirmed = e.unconfirmed(ctx, a.Revision)
		a.InForce = a.Accepted && len(a.Unconfirmed) == 0
		if a.InForce || !time.Now().Before(until) || ctx.Err() != nil {
			return
		}
		sleep(ctx, inForcePollInterval)
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

// Cancel cancels jobs at their owners.
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
