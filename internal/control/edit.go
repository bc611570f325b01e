package control

import (
	"slices"
	"strings"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// MaxHistory is the number of changes that the document keeps.
const MaxHistory = 100

// maxNameBytes limits the names of domains, endpoints and teams.
const maxNameBytes = 64

// ApplyEdit returns the document with an operator's edit applied to its
// configuration, or nil if the edit changes nothing. Its errors have the codes
// CommandRefused and CommandConflict.
func ApplyEdit(d *Document, e Edit, operation string, now time.Time) (*Document, error) {
	if e.IfRevision != 0 && e.IfRevision != d.Revision {
		return nil, result.Errorf(result.CommandConflict, "the configuration is at revision %d", d.Revision)
	}
	if err := checkConflict(d, e); err != nil {
		return nil, err
	}
	n := d.nextRevision(operation)
	if err := editConfig(&n.Config, e); err != nil {
		return nil, err
	}
	if configsEqual(&n.Config, &d.Config) {
		return nil, nil
	}
	n.History = append(n.History, Change{Revision: n.Revision, Operator: e.Operator, Statement: e.Statement, Object: e.object(), At: now.UTC()})
	if excess := len(n.History) - MaxHistory; excess > 0 {
		n.History = slices.Delete(n.History, 0, excess)
	}
	return n, nil
}

// checkConflict refuses an edit of an object that was changed after the
// revision on which the operator acted.
func checkConflict(d *Document, e Edit) error {
	for _, h := range d.History {
		if h.Revision > e.KnownRevision && h.Object == e.object() {
			return result.Errorf(result.CommandConflict, "%s changed %s in revision %d: %s", h.Operator, h.Object, h.Revision, h.Statement)
		}
	}
	return nil
}

func (e *Edit) object() string {
	switch {
	case e.Domain != nil:
		return "domain " + e.Domain.Name
	case e.Endpoint != nil:
		return "endpoint " + e.Endpoint.Name
	case e.Team != nil:
		return "team " + e.Team.Name
	}
	return ""
}

func editConfig(c *Config, e Edit) error {
	switch {
	case e.Domain != nil:
		return setService(&c.DomainsOut, *e.Domain)
	case e.Endpoint != nil:
		return setService(&c.EndpointsOut, *e.Endpoint)
	case e.Team != nil:
		return editTeam(c, *e.Team)
	}
	return result.Errorf(result.CommandRefused, "the command names no domain, endpoint or team")
}

func setService(out *[]string, e ServiceEdit) error {
	if err := checkName(e.Name); err != nil {
		return err
	}
	i, found := slices.BinarySearch(*out, e.Name)
	if e.Out && !found {
		*out = slices.Insert(*out, i, e.Name)
	}
	if !e.Out && found {
		*out = slices.Delete(*out, i, i+1)
	}
	return nil
}

func editTeam(c *Config, e TeamEdit) error {
	if err := checkName(e.Name); err != nil {
		return err
	}
	i, found := slices.BinarySearchFunc(c.Teams, e.Name, func(t Team, name string) int {
		return strings.Compare(t.Name, name)
	})
	if e.Remove {
		if !found {
			return result.Errorf(result.CommandRefused, "there is no team %q", e.Name)
		}
		c.Teams = slices.Delete(c.Teams, i, i+1)
		return nil
	}
	if !found {
		c.Teams = slices.Insert(c.Teams, i, Team{Name: e.Name, Weight: 1})
	}
	return updateTeam(&c.Teams[i], e)
}

func updateTeam(t *Team, e TeamEdit) error {
	if e.Weight != nil {
		t.Weight = *e.Weight
	}
	if e.MaxRunning != nil {
		t.MaxRunning = *e.MaxRunning
	}
	if e.MaxQueued != nil {
		t.MaxQueued = *e.MaxQueued
	}
	if e.Domains != nil {
		t.Domains = slices.Clone(*e.Domains)
		slices.Sort(t.Domains)
	}
	if e.MaxTimeoutMS != nil {
		t.MaxTimeoutMS = *e.MaxTimeoutMS
	}
	return t.check()
}

func (t *Team) check() error {
	if t.Weight < 1 {
		return result.Errorf(result.CommandRefused, "weight of team %q must be at least 1", t.Name)
	}
	if t.MaxRunning < 0 || t.MaxQueued < 0 || t.MaxTimeoutMS < 0 {
		return result.Errorf(result.CommandRefused, "limits of team %q must not be negative", t.Name)
	}
	for _, name := range t.Domains {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "\"\n\r\t") {
		return result.Errorf(result.CommandRefused, "invalid name %q: it is empty, too long, or contains quotes, tabs or line breaks", name)
	}
	return nil
}

func configsEqual(a, b *Config) bool {
	return slices.Equal(a.DomainsOut, b.DomainsOut) &&
		slices.Equal(a.EndpointsOut, b.EndpointsOut) &&
		slices.EqualFunc(a.Teams, b.Teams, func(x, y Team) bool {
			return x.Name == y.Name && x.Weight == y.Weight && x.MaxRunning == y.MaxRunning &&
				x.MaxQueued == y.MaxQueued && x.MaxTimeoutMS == y.MaxTimeoutMS && slices.Equal(x.Domains, y.Domains)
		})
}

// InService reports whether neither the endpoint nor its failure domain is out
// of service.
func (c *Config) InService(endpoint, domain string) bool {
	_, domainOut := slices.BinarySearch(c.DomainsOut, domain)
	_, endpointOut := slices.BinarySearch(c.EndpointsOut, endpoint)
	return !domainOut && !endpointOut
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (Team, bool) {
	i, ok := slices.BinarySearchFunc(c.Teams, name, func(t Team, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return Team{}, false
	}
	return c.Teams[i], true
}
