package query

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
)

func ptr[T any](v T) *T { return &v }

func TestParseCommands(t *testing.T) {
	cases := []struct {
		text string
		want control.Edit
	}{
		{"take domain Comas out", control.Edit{Domain: &control.ServiceEdit{Name: "Comas", Out: true}}},
		{`TAKE Domain "Los Olivos" OUT`, control.Edit{Domain: &control.ServiceEdit{Name: "Los Olivos", Out: true}}},
		{`take domain "a \"b\" \\c" out`, control.Edit{Domain: &control.ServiceEdit{Name: `a "b" \c`, Out: true}}},
		{"take domain out out", control.Edit{Domain: &control.ServiceEdit{Name: "out", Out: true}}},
		{"return domain Comas if revision 17", control.Edit{Domain: &control.ServiceEdit{Name: "Comas"}, IfRevision: 17}},
		{"take endpoint e-3 out", control.Edit{Endpoint: &control.ServiceEdit{Name: "e-3", Out: true}}},
		{"return endpoint e-3", control.Edit{Endpoint: &control.ServiceEdit{Name: "e-3"}}},
		{"remove entry n-1", control.Edit{RemoveMember: "n-1"}},
		{"remove team x", control.Edit{Team: &control.TeamEdit{Name: "x", Remove: true}}},
		{"set team alerts weight 3 max_running 40 max_queued 1000 domains Comas,Carabayllo max_timeout 30s if revision 2", control.Edit{
			Team: &control.TeamEdit{
				Name: "alerts", Weight: ptr(3), MaxRunning: ptr(40), MaxQueued: ptr(1000),
				Domains: &[]string{"Comas", "Carabayllo"}, MaxTimeoutMS: ptr(int64(30000)),
			},
			IfRevision: 2,
		}},
		{`set team x domains all`, control.Edit{Team: &control.TeamEdit{Name: "x", Domains: &[]string{}}}},
		{`set team x domains "all" , b`, control.Edit{Team: &control.TeamEdit{Name: "x", Domains: &[]string{"all", "b"}}}},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			got, err := Parse(" " + c.text + "\n")
			must.NoError(t, err)
			c.want.Statement = c.text
			must.Eq(t, Statement{Edit: &c.want}, got)
		})
	}
}

func TestSyntaxErrorsGiveColumnAndExpectation(t *testing.T) {
	cases := []struct {
		text, want string
	}{
		{"", "column 1: expected jobs, domains, endpoints, entries, teams, changes, show, take, return, set, remove or cancel, found the end"},
		{"job", `column 1: expected jobs, domains, endpoints, entries, teams, changes, show, take, return, set, remove or cancel, found "job"`},
		{"jobs where", "column 11: expected a field, found the end"},
		{"jobs where team", "column 16: expected one of = != < <= > >= ~, found the end"},
		{"jobs where team alerts", `column 17: expected one of = != < <= > >= ~, found "alerts"`},
		{"jobs where team =", "column 18: expected a name or a value, found the end"},
		{"jobs where team = a or b", `column 21: expected and, sort, limit or the end, found "or"`},
		{"jobs where team = a and", "column 24: expected a field, found the end"},
		{"jobs limit", "column 11: expected a number, found the end"},
		{"jobs limit 3 4", `column 14: expected the end, found "4"`},
		{"jobs sort age down", `column 15: expected asc, desc, limit, a comma or the end, found "down"`},
		{`jobs where team = "x`, `column 19: expected a closing "`},
		{"jobs where team ! x", `column 17: expected one of = != < <= > >= ~, found "!"`},
		{"jobs\nwhere x y", "line 2, column 9: expected one of"},
		{"take", "column 5: expected domain or endpoint, found the end"},
		{"take domain", "column 12: expected a name or a value, found the end"},
		{"take domain Comas", "column 18: expected out, found the end"},
		{"return domain Comas out", `column 21: expected if or the end, found "out"`},
		{"set teams", `column 5: expected team, found "teams"`},
		{"set team a", "column 11: expected domains, weight, max_running, max_queued or max_timeout, found the end"},
		{"set team a weight", "column 18: expected a name or a value, found the end"},
		{"set team a weight 3 if", "column 23: expected revision, found the end"},
		{"set team a weight 3 if revision", "column 32: expected a number, found the end"},
		{"remove x", `column 8: expected team or entry, found "x"`},
		{"cancel jobs", "column 12: expected where, found the end"},
		{"jobs where ñandú x y", "column 18: expected one of"},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			_, err := Parse(c.text)
			must.Eq(t, result.QuerySyntax, result.CodeOf(err))
			must.StrContains(t, err.Error(), c.want)
		})
	}
}

func TestFieldErrorsGiveColumnAndExpectation(t *testing.T) {
	cases := []struct {
		text, want string
	}{
		{"domains where colour = red", `column 15: domains have no field "colour"; expected name, state, endpoints, slots or running`},
		{"jobs sort age, size", `column 16: jobs have no field "size"`},
		{"jobs where age > old", `column 18: "old" is not a value of age_ms; expected a duration such as 250ms`},
		{"jobs where tasks = NaN", `column 20: "NaN" is not a value of tasks; expected a number`},
		{"jobs where tasks ~ 3", "column 20: tasks can't be compared by ~; expected = != < <= > >="},
		{"teams where domains < x", "column 23: domains can't be compared by <; expected = != ~"},
		{"changes where at > now", `column 20: "now" is not a value of at; expected a time such as`},
		{"jobs limit 0", `column 12: "0" is not a value of limit; expected a whole number from 1 to 1000000`},
		{"set team a weight 0", `column 19: "0" is not a value of weight; expected a whole number from 1`},
		{"set team a weight 1,2", "column 21: weight takes one value"},
		{"set team a weight 1 weight 2", "column 21: weight is set twice"},
		{"set team a max_timeout 1us", `column 24: "1us" is not a value of max_timeout`},
		{"set team a max_running -1", `column 24: "-1" is not a value of max_running`},
		{`take domain "" out`, `column 13: "" is not a name`},
		{`take domain "a` + "\x07" + `" out`, `column 13: "a\a" is not a name`},
		{"remove team a if revision x", `column 27: "x" is not a revision`},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			_, err := Parse(c.text)
			must.Eq(t, result.QueryField, result.CodeOf(err))
			must.StrContains(t, err.Error(), c.want)
		})
	}
}

func TestParseRefusesLongText(t *testing.T) {
	_, err := Parse("jobs where team = " + strings.Repeat("x", MaxTextBytes))
	must.Eq(t, result.QuerySyntax, result.CodeOf(err))
}

// FuzzParse checks that Parse does not panic, returns only the codes
// QuerySyntax and QueryField, and that parsing the text recorded for a command
// gives the same command.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		`jobs where team = "alerts" and state = running sort age desc limit 20`,
		"show domains", "endpoints where running > 3 sort name asc, slots", "entries", "teams where domains ~ com",
		"changes where at > 2026-01-02T03:04:05Z", "take domain Comas out", "return endpoint e-3 if revision 4",
		"set team a weight 3 domains b,c max_timeout 1h", "remove team x", "remove entry n-1", `cancel jobs where team = "x\"" and age > 5s`,
		"set team a weight", `take domain "x`, "jobs where a ! b", "jobs limit\n\n9999999999999999999",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse(text)
		if err != nil {
			code := result.CodeOf(err)
			must.True(t, code == result.QuerySyntax || code == result.QueryField, must.Sprint(err))
			return
		}
		if got.Edit != nil {
			again, err := Parse(got.Edit.Statement)
			must.NoError(t, err)
			must.Eq(t, got, again)
		}
	})
}
