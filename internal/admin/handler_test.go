package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pomelosill/pomelosill/internal/access"
	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
)

// fakeBackend returns fixed rows and records edits and cancellations.
type fakeBackend struct {
	rowsErr    error
	editResult EditResult
	editErr    error
	edits      []control.Edit
	waits      []time.Duration
	cancelled  []string
}

func (b *fakeBackend) Jobs(context.Context) ([]api.JobRow, error) {
	return []api.JobRow{
		{ID: "1", Team: "alerts", State: "running", Running: 2},
		{ID: "2", Team: "alerts", State: "done"},
		{ID: "3", Team: "booths", State: "waiting", Waiting: 4},
	}, b.rowsErr
}

func (b *fakeBackend) Endpoints(context.Context) ([]api.EndpointRow, error) {
	return []api.EndpointRow{{Name: "e-1", FailureDomain: "Comas"}, {Name: "e-2", FailureDomain: "Yaba"}}, b.rowsErr
}

func (b *fakeBackend) FailureDomains(context.Context) ([]api.FailureDomainRow, error) {
	return []api.FailureDomainRow{{Name: "Comas"}}, b.rowsErr
}

func (b *fakeBackend) Entries(context.Context) ([]api.EntryRow, error) {
	return []api.EntryRow{{ID: "n-1", Revision: 6}, {ID: "n-2", Revision: 7}}, b.rowsErr
}

func (b *fakeBackend) Teams(context.Context) ([]api.TeamRow, error) {
	return []api.TeamRow{{Name: "alerts", Weight: 3}}, b.rowsErr
}

func (b *fakeBackend) Changes(context.Context) ([]api.ChangeRow, error) {
	return []api.ChangeRow{{Revision: 7}}, b.rowsErr
}

func (b *fakeBackend) Apply(_ context.Context, e control.Edit, wait time.Duration) (EditResult, error) {
	b.edits = append(b.edits, e)
	b.waits = append(b.waits, wait)
	return b.editResult, b.editErr
}

func (b *fakeBackend) Cancel(_ context.Context, _ string, ids []string) (int, error) {
	b.cancelled = append(b.cancelled, ids...)
	return len(ids), nil
}

const (
	operatorToken = "operator-token-0001"
	callerToken   = "caller-token-000001"
)

var testGuard = access.NewGuard(access.Tokens{
	{Name: "ana", Role: access.Operator, Token: operatorToken},
	{Name: "alerts-app", Role: access.Caller, Team: "alerts", Token: callerToken},
}, zap.NewNop())

var testTime = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func newTestHandler(b Backend, log *zap.Logger) *Handler {
	return NewHandler(Options{Backend: b, Guard: testGuard, Log: log, Now: func() time.Time { return testTime }})
}

// post sends a request body with the token.
func post(t *testing.T, h http.Handler, token, body string) (int, api.Reply) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/v1/query", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var reply api.Reply
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &reply))
	return w.Code, reply
}

func send(t *testing.T, h http.Handler, token string, stmt api.Statement) (int, api.Reply) {
	t.Helper()
	body, err := json.Marshal(stmt)
	must.NoError(t, err)
	return post(t, h, token, string(body))
}

func TestInspect(t *testing.T) {
	cases := []struct {
		token, text string
		code        result.Code
		rows        int
	}{
		{operatorToken, "jobs", result.OK, 3},
		{operatorToken, "domains", result.OK, 1},
		{operatorToken, "endpoints where domain = Comas", result.OK, 1},
		{operatorToken, "entries", result.OK, 2},
		{operatorToken, "teams", result.OK, 1},
		{operatorToken, "changes", result.OK, 1},
		{operatorToken, "jobs where", result.QuerySyntax, 0},
		{operatorToken, "jobs sort size", result.QueryField, 0},
		{callerToken, "jobs", result.OK, 2},
		{callerToken, "jobs where team = booths", result.OK, 0},
		{callerToken, "endpoints", result.Forbidden, 0},
		{"unknown", "jobs", result.Unauthorized, 0},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			status, reply := send(t, newTestHandler(&fakeBackend{}, zap.NewNop()), c.token, api.Statement{Text: c.text})
			must.Eq(t, c.code, reply.Code)
			must.Eq(t, result.Describe(c.code).HTTPStatus, status)
			must.Len(t, c.rows, reply.Rows)
		})
	}
}

func TestInspectReportsOmittedRows(t *testing.T) {
	_, reply := send(t, newTestHandler(&fakeBackend{}, zap.NewNop()), operatorToken, api.Statement{Text: "jobs limit 2"})
	must.Eq(t, "2 of 3 rows; use limit to get more", reply.Detail)
}

func TestInspectReturnsRowsWithTheError(t *testing.T) {
	b := &fakeBackend{rowsErr: result.Errorf(result.StoreUnavailable, "n-2 did not answer")}
	status, reply := send(t, newTestHandler(b, zap.NewNop()), operatorToken, api.Statement{Text: "jobs"})
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, "n-2 did not answer", reply.Detail)
	must.Len(t, 3, reply.Rows)
}

func TestEdit(t *testing.T) {
	conflict := result.Errorf(result.CommandConflict, "revision 9 was written first")
	cases := []struct {
		name   string
		edited EditResult
		err    error
		waitMS int64
		code   result.Code
	}{
		{"in force", EditResult{Revision: 8, Changed: true, Accepted: true, InForce: true}, nil, 4000, result.OK},
		{"accepted without a wait", EditResult{Revision: 8, Changed: true, Accepted: true}, nil, 0, result.OK},
		{"accepted but not in force after the wait", EditResult{Revision: 8, Changed: true, Accepted: true, Unconfirmed: []string{"e-1"}}, nil, 4000, result.CommandUnconfirmed},
		{"not accepted", EditResult{Revision: 8, Changed: true, Unconfirmed: []string{"n-2"}}, nil, 0, result.CommandUnconfirmed},
		{"conflict", EditResult{Revision: 9}, conflict, 0, result.CommandConflict},
		{"answer lost", EditResult{}, result.Errorf(result.StoreAnswerLost, "x"), 0, result.StoreAnswerLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &fakeBackend{editResult: c.edited, editErr: c.err}
			h := newTestHandler(b, zap.NewNop())
			status, reply := send(t, h, operatorToken, api.Statement{Text: "take domain Comas out", WaitMS: c.waitMS})
			must.Eq(t, c.code, reply.Code)
			must.Eq(t, result.Describe(c.code).HTTPStatus, status)
			must.Eq(t, c.edited.Revision, reply.Revision)
			must.Eq(t, c.edited.Unconfirmed, reply.Unconfirmed)
			must.Eq(t, []time.Duration{time.Duration(c.waitMS) * time.Millisecond}, b.waits)
			want := control.Edit{Operator: "ana", Statement: "take domain Comas out", Domain: &control.ServiceEdit{Name: "Comas", Out: true}}
			must.Eq(t, []control.Edit{want}, b.edits)
			must.Eq(t, c.code, h.AuditRecords()[0].Code)
		})
	}
}

func TestCallersCannotEdit(t *testing.T) {
	b := &fakeBackend{}
	h := newTestHandler(b, zap.NewNop())
	for _, text := range []string{"take domain Comas out", "set team alerts weight 9", "remove team booths"} {
		_, reply := send(t, h, callerToken, api.Statement{Text: text})
		must.Eq(t, result.Forbidden, reply.Code)
	}
	must.Len(t, 0, b.edits)
	must.Len(t, 3, h.AuditRecords())
}

func TestDryRunChangesNothing(t *testing.T) {
	cases := []struct {
		text, detail string
		rows         int
		code         result.Code
	}{
		{"take domain Comas out", "would affect 1 known endpoints", 1, result.OK},
		{"return endpoint e-2 if revision 7", "would affect 1 known endpoints", 1, result.OK},
		{"return endpoint e-2 if revision 6", "the configuration is at revision 7", 0, result.CommandConflict},
		{"set team alerts weight 4", "the rows show the team's current settings", 1, result.OK},
		{"set team new weight 4", "would create the team", 0, result.OK},
		{"remove entry n-2", "would remove 1 entries", 1, result.OK},
		{"cancel jobs where id ~ \"\"", "would cancel 2 jobs", 2, result.OK},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			b := &fakeBackend{}
			h := newTestHandler(b, zap.NewNop())
			_, reply := send(t, h, operatorToken, api.Statement{Text: c.text, DryRun: true})
			must.Eq(t, c.code, reply.Code)
			must.StrContains(t, reply.Detail, c.detail)
			must.Len(t, c.rows, reply.Rows)
			must.Len(t, 0, b.edits)
			must.Len(t, 0, b.cancelled)
			must.Len(t, 0, h.AuditRecords())
		})
	}
}

func TestCancelIsLimitedToTheTokensTeam(t *testing.T) {
	for token, want := range map[string][]string{operatorToken: {"1", "3"}, callerToken: {"1"}} {
		b := &fakeBackend{}
		_, reply := send(t, newTestHandler(b, zap.NewNop()), token, api.Statement{Text: `cancel jobs where state != none`})
		must.Eq(t, result.OK, reply.Code)
		must.Eq(t, want, b.cancelled)
	}
}

func TestAuditIsLoggedWithoutTokensAndBounded(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	h := newTestHandler(&fakeBackend{editResult: EditResult{Revision: 8, Accepted: true}}, zap.New(core))
	for i := range maxAuditRecords + 3 {
		send(t, h, operatorToken, api.Statement{Text: fmt.Sprintf("remove team t%d", i)})
	}
	records := h.AuditRecords()
	must.Len(t, maxAuditRecords, records)
	must.Eq(t, "remove team t3", records[0].What)
	must.Eq(t, testTime, records[0].At)
	must.Eq(t, maxAuditRecords+3, logs.Len())
	entry := logs.All()[0]
	must.Eq(t, "admin: command", entry.Message)
	fields := entry.ContextMap()
	must.Eq(t, any("ana"), fields["who"])
	must.Eq(t, any(uint64(8)), fields["revision"])
	must.False(t, slices.ContainsFunc(logs.All(), func(e observer.LoggedEntry) bool {
		return strings.Contains(fmt.Sprint(e.ContextMap()), operatorToken)
	}))
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	cases := []struct {
		name, body string
		code       result.Code
	}{
		{"not JSON", "jobs", result.Malformed},
		{"unknown field", `{"text":"jobs","wait":3}`, result.Malformed},
		{"long wait", `{"text":"jobs","wait_ms":60001}`, result.Malformed},
		{"negative wait", `{"text":"jobs","wait_ms":-1}`, result.Malformed},
		{"too large", `{"text":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, result.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, reply := post(t, newTestHandler(&fakeBackend{}, zap.NewNop()), operatorToken, c.body)
			must.Eq(t, c.code, reply.Code)
			must.Eq(t, result.Describe(c.code).HTTPStatus, status)
		})
	}
}
