package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

// runCommand runs the program with args, and returns its output and exit status.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	c := newCommand()
	c.Writer = &out
	c.ErrWriter = &out
	err := c.Run(context.Background(), append([]string{"pomelosill"}, args...))
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), exitStatus(err)
}

// serveReply starts a server that responds with v, and decodes each request's body
// into body. It returns the server's address.
func serveReply(t *testing.T, code result.Code, v any, body any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.NoError(t, json.NewDecoder(r.Body).Decode(body))
		process.WriteJSON(w, result.Describe(code).HTTPStatus, v)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"}, {"query"}, {"query", "--wait", "2m", "jobs"}, {"query", "--no-such-flag", "jobs"},
		{"submit"}, {"submit", "--team", "a", "--tasks", "121"}, {"submit", "--file", "no-such-file"},
		{"job"}, {"cancel", "a", "b"}, {"dump"}, {"settings", "check", "x"},
		{"settings", "check", "--program", "store", "x"},
	} {
		_, status := runCommand(t, args...)
		must.Eq(t, exitUsage, status, must.Sprint(args))
	}
}

func TestQueryPrintsAnAlignedTable(t *testing.T) {
	var got api.Statement
	address := serveReply(t, result.OK, api.Reply{
		Columns: []string{"name", "domains", "running"},
		Rows:    [][]any{{"alerts", []string{"Comas", "Los Olivos"}, 12345678}, {"radio", nil, 0}},
	}, &got)
	out, status := runCommand(t, "q", "--admin", address, "--dry-run", "--wait", "2s", "teams", "sort", "name")
	must.Eq(t, exitDone, status)
	must.Eq(t, api.Statement{Text: "teams sort name", DryRun: true, WaitMS: 2000}, got)
	must.Eq(t, "name    domains           running\nalerts  Comas,Los Olivos  12345678\nradio   -                 0\n", out)
}

func TestQueryListsUnconfirmedProcesses(t *testing.T) {
	var got api.Statement
	reply := api.Reply{Code: result.CommandUnconfirmed, Detail: "accepted", Revision: 8}
	for range maxUnconfirmedListed + 2 {
		reply.Unconfirmed = append(reply.Unconfirmed, "agent e-1")
	}
	out, status := runCommand(t, "q", "--admin", serveReply(t, reply.Code, reply, &got), "take domain Comas out")
	must.Eq(t, exitUnknown, status)
	must.Eq(t, int64(4000), got.WaitMS)
	must.StrContains(t, out, "303 CommandUnconfirmed: accepted (revision 8)\nnot confirmed by agent e-1\n")
	must.StrContains(t, out, "and 2 more, see --json")
}

func TestSubmitExitStatus(t *testing.T) {
	cases := map[result.Code]int{
		result.OK: exitDone, result.OverQuota: exitRefused, result.OutcomeUnknown: exitUnknown,
		result.TaskFailed: exitUnknown, result.UnknownTeam: exitRefused,
	}
	for code, want := range cases {
		var job api.Job
		info := result.Describe(code)
		address := serveReply(t, code, api.Answer{ID: "x", Code: code, Effect: info.Effect, Tasks: make([]api.TaskAnswer, 3)}, &job)
		out, status := runCommand(t, "submit", "--entry", address, "--team", "alerts", "--tasks", "3", "--run-ms", "7", "--id", "x")
		must.Eq(t, want, status, must.Sprint(out))
		must.Eq(t, "x", job.ID)
		must.Len(t, 3, job.Tasks)
		must.Eq(t, `{"run_ms":7}`, string(job.Tasks[0].Payload))
	}
}

func TestSubmitReadsTheJobFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "job.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"team":"radio","timeout_ms":5,"tasks":[{"payload":{}}]}`), 0o600))
	var job api.Job
	address := serveReply(t, result.OK, api.Answer{Tasks: make([]api.TaskAnswer, 1)}, &job)
	_, status := runCommand(t, "submit", "--entry", address, "--file", path)
	must.Eq(t, exitDone, status)
	must.Eq(t, "radio", job.Team)
	must.Eq(t, 36, len(job.ID))
}

func TestUnreachableEntryExitStatus(t *testing.T) {
	_, status := runCommand(t, "q", "--admin", "127.0.0.1:1", "jobs")
	must.Eq(t, exitUnreachable, status)
}

func TestSettingsCheckAcceptsTheExamples(t *testing.T) {
	for program := range defaultSettings {
		path := filepath.Join("..", "..", "docs", "examples", program+".jsonc")
		out, status := runCommand(t, "settings", "check", "--program", program, path)
		must.Eq(t, exitDone, status, must.Sprint(out))
		must.StrContains(t, out, "valid settings for pomelosill-"+program)
	}
	out, status := runCommand(t, "settings", "check", "--program", "agent", filepath.Join("..", "..", "docs", "examples", "entry.jsonc"))
	must.Eq(t, exitRefused, status)
	must.StrContains(t, out, "403 SettingsField")
}

func TestCodesListsEveryCode(t *testing.T) {
	out, status := runCommand(t, "codes")
	must.Eq(t, exitDone, status)
	for _, info := range result.Table() {
		must.StrContains(t, out, info.Name)
	}
}
