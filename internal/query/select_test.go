package query

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/api"
)

func parseInspect(t *testing.T, text string) Inspect {
	t.Helper()
	s, err := Parse(text)
	must.NoError(t, err)
	must.NotNil(t, s.Inspect)
	return *s.Inspect
}

// firstColumn returns the first column of each row.
func firstColumn(table Table) []any {
	var out []any
	for _, row := range table.Rows {
		out = append(out, row[0])
	}
	return out
}

func TestSelectJobs(t *testing.T) {
	rows := []api.JobRow{
		{ID: "a", Team: "alerts", State: "running", Tasks: 3, AgeMS: 5000, RunMS: 1.5},
		{ID: "b", Team: "alerts", State: "waiting", Tasks: 9, AgeMS: 100},
		{ID: "c", Team: "radio", State: "running", Tasks: 1, AgeMS: 7000, RunMS: 0.5},
		{ID: "d", Team: "alerts", State: "running", Tasks: 3, AgeMS: 9000},
	}
	cases := []struct {
		text    string
		want    []any
		matched int
	}{
		{"jobs", []any{"a", "b", "c", "d"}, 4},
		{`show jobs where team = "alerts" and state = running sort age desc limit 20`, []any{"d", "a"}, 2},
		{"jobs where team != alerts", []any{"c"}, 1},
		{"jobs where team ~ ALE limit 1", []any{"a"}, 3},
		{"jobs where age >= 7s", []any{"c", "d"}, 2},
		{"jobs where age_ms < 5000", []any{"b"}, 1},
		{"jobs where age <= 100", []any{"b"}, 1},
		{"jobs where run_ms > 0.4 sort run", []any{"c", "a"}, 2},
		{"jobs sort tasks desc, age", []any{"b", "a", "d", "c"}, 4},
		{"jobs where id > b sort id desc", []any{"d", "c"}, 2},
		{"jobs where team = none", nil, 0},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			got := Select(parseInspect(t, c.text), rows)
			must.Eq(t, c.want, firstColumn(got))
			must.Eq(t, c.matched, got.Matched)
		})
	}
	must.Eq(t, "a", rows[0].ID)
}

func TestSelectListsAndTimes(t *testing.T) {
	teams := []api.TeamRow{{Name: "a", Domains: []string{"Comas", "Los Olivos"}}, {Name: "b"}, {Name: "c", Domains: []string{"Comas"}}}
	must.Eq(t, []any{"a", "c"}, firstColumn(Select(parseInspect(t, "teams where domains = Comas"), teams)))
	must.Eq(t, []any{"b", "c"}, firstColumn(Select(parseInspect(t, `teams where domains != "Los Olivos"`), teams)))
	must.Eq(t, []any{"a"}, firstColumn(Select(parseInspect(t, "teams where domains ~ oliv"), teams)))
	must.Eq(t, []any{"b", "c", "a"}, firstColumn(Select(parseInspect(t, "teams sort domains"), teams)))

	noon := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	changes := []api.ChangeRow{{Revision: 1, At: noon}, {Revision: 2, At: noon.Add(time.Hour)}}
	must.Eq(t, []any{uint64(2)}, firstColumn(Select(parseInspect(t, "changes where at > 2026-01-02T12:00:00Z"), changes)))
	must.Eq(t, []any{uint64(2), uint64(1)}, firstColumn(Select(parseInspect(t, "changes sort at desc"), changes)))
}

func TestSelectWithoutSortOrdersByFirstField(t *testing.T) {
	rows := []api.FailureDomainRow{{Name: "b"}, {Name: "c", Slots: 1}, {Name: "a"}}
	must.Eq(t, []any{"a", "b", "c"}, firstColumn(Select(parseInspect(t, "domains"), rows)))
	must.Eq(t, []any{"c", "a", "b"}, firstColumn(Select(parseInspect(t, "domains sort slots desc"), rows)))
}

func TestSelectColumnsAreJSONNames(t *testing.T) {
	got := Select(parseInspect(t, "domains"), []api.FailureDomainRow{{Name: "Comas", State: "out", Endpoints: 3, Slots: 24}})
	must.Eq(t, []string{"name", "state", "endpoints", "slots", "running"}, got.Columns)
	must.Eq(t, [][]any{{"Comas", "out", 3, 24, 0}}, got.Rows)
}

func TestEveryKindHasASchema(t *testing.T) {
	for _, kind := range []Kind{Jobs, FailureDomains, Endpoints, Entries, Teams, Changes} {
		q := parseInspect(t, string(kind))
		must.Eq(t, kind, q.Kind)
		must.NotEq(t, 0, len(schemas[kind].fields))
	}
}
