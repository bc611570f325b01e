package query

import (
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
)

// allDomains stands for all failure domains in `set team … domains all`.
const allDomains = "all"

// buildStatement checks the names and values that the grammar does not check,
// and converts the syntax tree to a Statement.
func buildStatement(text string, n *statementNode) (Statement, error) {
	switch {
	case n.Show != nil:
		q, err := buildInspect(n.Show)
		return Statement{Inspect: q}, err
	case n.Cancel != nil:
		where, err := buildWhere(schemas[Jobs], n.Cancel.Where)
		return Statement{Cancel: &Cancel{Where: where}}, err
	}
	edit, err := buildEdit(n)
	if err != nil {
		return Statement{}, err
	}
	edit.Statement = strings.TrimSpace(text)
	return Statement{Edit: edit}, nil
}

func buildInspect(n *inspectNode) (*Inspect, error) {
	q := &Inspect{Kind: Kind(strings.ToLower(n.Kind)), Limit: DefaultLimit}
	schema := schemas[q.Kind]
	var err error
	if q.Where, err = buildWhere(schema, n.Where); err != nil {
		return nil, err
	}
	for _, s := range n.Sort {
		f, err := schema.find(s.Field)
		if err != nil {
			return nil, err
		}
		descending := strings.EqualFold(s.Order, "desc")
		q.Sort = append(q.Sort, SortKey{field: f, descending: descending})
	}
	if n.HasLimit {
		q.Limit, err = buildCount("limit", n.Limit.Text, n.Limit.Pos, 1, MaxLimit)
	}
	return q, err
}

func buildWhere(s schema, nodes []conditionNode) ([]Condition, error) {
	var where []Condition
	for _, n := range nodes {
		f, err := s.find(n.Field)
		if err != nil {
			return nil, err
		}
		c, err := newCondition(f, operator(n.Op), n.Value)
		if err != nil {
			return nil, err
		}
		where = append(where, c)
	}
	return where, nil
}

func buildEdit(n *statementNode) (*control.Edit, error) {
	switch {
	case n.Take != nil:
		return buildServiceEdit(n.Take.Target, n.Take.Name, true, n.Take.If)
	case n.Return != nil:
		return buildServiceEdit(n.Return.Target, n.Return.Name, false, n.Return.If)
	case n.Set != nil:
		return buildTeamEdit(n.Set)
	default:
		return buildRemoveEdit(n.Remove)
	}
}

func buildServiceEdit(target string, name textNode, out bool, ifRevision *ifRevisionNode) (*control.Edit, error) {
	checked, err := buildName(name)
	if err != nil {
		return nil, err
	}
	service := &control.ServiceEdit{Name: checked, Out: out}
	edit := &control.Edit{}
	if strings.EqualFold(target, "domain") {
		edit.Domain = service
	} else {
		edit.Endpoint = service
	}
	edit.IfRevision, err = buildIfRevision(ifRevision)
	return edit, err
}

func buildRemoveEdit(n *removeNode) (*control.Edit, error) {
	name, err := buildName(n.Name)
	if err != nil {
		return nil, err
	}
	revision, err := buildIfRevision(n.If)
	edit := &control.Edit{IfRevision: revision}
	if strings.EqualFold(n.Target, "entry") {
		edit.RemoveMember = name
	} else {
		edit.Team = &control.TeamEdit{Name: name, Remove: true}
	}
	return edit, err
}

func buildTeamEdit(n *setNode) (*control.Edit, error) {
	name, err := buildName(n.Name)
	if err != nil {
		return nil, err
	}
	team := &control.TeamEdit{Name: name}
	seen := map[string]bool{}
	for _, s := range n.Fields {
		fieldName := strings.ToLower(s.Field)
		if seen[fieldName] {
			return nil, errorAt(result.QueryField, s.Pos, "%s is set twice; expected it once", fieldName)
		}
		seen[fieldName] = true
		if err := setTeamField(team, fieldName, s.Value); err != nil {
			return nil, err
		}
	}
	revision, err := buildIfRevision(n.If)
	return &control.Edit{Team: team, IfRevision: revision}, err
}

// setTeamField sets one field of a team. The grammar accepts only these names.
func setTeamField(team *control.TeamEdit, name string, values []textNode) error {
	var err error
	switch name {
	case "domains":
		team.Domains, err = buildDomains(values)
	case "max_timeout":
		team.MaxTimeoutMS, err = singleValue(name, values, buildTimeout)
	case "weight":
		team.Weight, err = singleValue(name, values, countAtLeast(1))
	case "max_running":
		team.MaxRunning, err = singleValue(name, values, countAtLeast(0))
	case "max_queued":
		team.MaxQueued, err = singleValue(name, values, countAtLeast(0))
	}
	return err
}

// singleValue builds a field that takes exactly one value.
func singleValue[T any](name string, values []textNode, build func(string, textNode) (T, error)) (*T, error) {
	if len(values) > 1 {
		return nil, errorAt(result.QueryField, values[1].Pos, "%s takes one value", name)
	}
	v, err := build(name, values[0])
	if err != nil {
		return nil, err
	}
	return &v, nil
}

func countAtLeast(minimum int) func(string, textNode) (int, error) {
	return func(name string, n textNode) (int, error) {
		return buildCount(name, n.text(), n.Pos, minimum, MaxCount)
	}
}

func buildTimeout(name string, n textNode) (int64, error) {
	d, err := time.ParseDuration(n.text())
	if err != nil || d < 0 || d%time.Millisecond != 0 {
		return 0, errorAt(result.QueryField, n.Pos, "%q is not a value of %s; expected a duration in whole milliseconds such as 30s, or 0 for no limit", n.text(), name)
	}
	return d.Milliseconds(), nil
}

func buildDomains(values []textNode) (*[]string, error) {
	names := []string{}
	if len(values) == 1 && values[0].Word != nil && strings.EqualFold(*values[0].Word, allDomains) {
		return &names, nil
	}
	for _, v := range values {
		name, err := buildName(v)
		if err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return &names, nil
}

func buildCount(name, text string, pos lexer.Position, minimum, maximum int) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > maximum {
		return 0, errorAt(result.QueryField, pos, "%q is not a value of %s; expected a whole number from %d to %d", text, name, minimum, maximum)
	}
	return n, nil
}

func buildIfRevision(n *ifRevisionNode) (uint64, error) {
	if n == nil {
		return 0, nil
	}
	revision, err := strconv.ParseUint(n.Revision.Text, 10, 64)
	if err != nil || revision == 0 {
		return 0, errorAt(result.QueryField, n.Revision.Pos, "%q is not a revision; expected a whole number from 1", n.Revision.Text)
	}
	return revision, nil
}

// buildName returns the name. It refuses one that cannot be shown in a log or a
// table.
func buildName(n textNode) (string, error) {
	name := n.text()
	if name == "" || len(name) > MaxNameBytes || strings.ContainsFunc(name, isUnprintable) {
		return "", errorAt(result.QueryField, n.Pos, "%q is not a name; expected 1 to %d bytes of printable text", name, MaxNameBytes)
	}
	return name, nil
}

func isUnprintable(r rune) bool { return !unicode.IsPrint(r) }
