package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry records the job ids and authorization headers of its requests.
type fakeEntry struct {
	*httptest.Server
	ids, tokens []string
}

// newFakeEntry returns an entry that responds with status and answer or, if
// breakConn is set, closes each connection after it has read the request.
func newFakeEntry(t *testing.T, breakConn bool, status int, answer any) *fakeEntry {
	e := &fakeEntry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var job api.Job
		_ = json.NewDecoder(r.Body).Decode(&job)
		e.ids = append(e.ids, job.ID)
		e.tokens = append(e.tokens, r.Header.Get("Authorization"))
		if breakConn {
			conn, _, err := w.(http.Hijacker).Hijack()
			must.NoError(t, err)
			must.NoError(t, conn.Close())
			return
		}
		process.WriteJSON(w, status, answer)
	}))
	t.Cleanup(e.Close)
	return e
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	return l.Addr().String()
}

func newClient(t *testing.T, addresses ...string) *Client {
	c, err := New(addresses, "secret")
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func TestSubmitRetriesAtTheNextEntryWithTheSameID(t *testing.T) {
	broken := newFakeEntry(t, true, 0, nil)
	next := newFakeEntry(t, false, http.StatusOK, api.Answer{ID: "x", Code: result.OK})
	c := newClient(t, unusedAddress(t), broken.URL, next.URL)
	a, err := c.Submit(context.Background(), api.Job{ID: "x"})
	must.NoError(t, err)
	must.Eq(t, result.OK, a.Code)
	must.Eq(t, []string{"x"}, broken.ids)
	must.Eq(t, []string{"x"}, next.ids)
	must.Eq(t, []string{"Bearer secret"}, next.tokens)
}

func TestSubmitTriesTheNextEntryDuringAShutdown(t *testing.T) {
	leaving := newFakeEntry(t, false, http.StatusServiceUnavailable, api.Answer{Code: result.ShuttingDown})
	next := newFakeEntry(t, false, http.StatusOK, api.Answer{Code: result.OK})
	a, err := newClient(t, leaving.URL, next.URL).Submit(context.Background(), api.Job{ID: "x"})
	must.NoError(t, err)
	must.Eq(t, result.OK, a.Code)

	a, err = newClient(t, leaving.URL, unusedAddress(t)).Submit(context.Background(), api.Job{ID: "x"})
	must.NoError(t, err)
	must.Eq(t, result.ShuttingDown, a.Code)
}

func TestSubmitDistinguishesNotSentFromUnknown(t *testing.T) {
	unused := unusedAddress(t)
	_, err := newClient(t, unused).Submit(context.Background(), api.Job{})
	must.Eq(t, result.EntryUnreachable, result.CodeOf(err))
	must.True(t, result.CodeOf(err).NotRun())

	broken := newFakeEntry(t, true, 0, nil)
	_, err = newClient(t, broken.URL, unused).Submit(context.Background(), api.Job{})
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
}

func TestQueryIsNotSentTwice(t *testing.T) {
	broken := newFakeEntry(t, true, 0, nil)
	next := newFakeEntry(t, false, http.StatusOK, api.Reply{Code: result.OK, Revision: 8})
	_, err := newClient(t, broken.URL, next.URL).Query(context.Background(), api.Statement{})
	must.Eq(t, result.CommandUnconfirmed, result.CodeOf(err))
	must.Len(t, 0, next.ids)

	reply, err := newClient(t, unusedAddress(t), next.URL).Query(context.Background(), api.Statement{})
	must.NoError(t, err)
	must.Eq(t, uint64(8), reply.Revision)
}

func TestRefusalsHaveTheEntrysCode(t *testing.T) {
	refusing := newFakeEntry(t, false, http.StatusNotFound, api.Answer{Code: result.NotFound, Detail: "no owner has a job with this id"})
	c := newClient(t, refusing.URL)
	_, err := c.Job(context.Background(), "x")
	must.Eq(t, result.NotFound, result.CodeOf(err))
	must.Eq(t, result.NotFound, result.CodeOf(c.Cancel(context.Background(), "x")))
	_, err = c.Dump(context.Background())
	must.Eq(t, result.NotFound, result.CodeOf(err))
}

// A proxy between the client and an entry may respond instead of the entry, and
// a response may be truncated. The job may have run nevertheless, so the client
// must not report it as refused or done.
func TestInvalidAnswerMeansOutcomeUnknown(t *testing.T) {
	job := api.Job{ID: "x", Tasks: []api.Task{{}}}
	for name, c := range map[string]struct {
		status int
		answer any
	}{
		"not JSON":               {http.StatusOK, "text"},
		"a load balancer's JSON": {http.StatusBadGateway, map[string]string{"message": "bad gateway"}},
		"done with other status": {http.StatusBadGateway, api.Answer{Code: result.OK, Tasks: []api.TaskAnswer{{}}}},
		"done without its tasks": {http.StatusOK, api.Answer{Code: result.OK}},
		"an empty object":        {http.StatusOK, map[string]string{}},
		"not run, other status":  {http.StatusBadGateway, api.Answer{Code: result.OverQuota}},
	} {
		t.Run(name, func(t *testing.T) {
			entry := newFakeEntry(t, false, c.status, c.answer)
			_, err := newClient(t, entry.URL).Submit(context.Background(), job)
			must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
		})
	}
	entry := newFakeEntry(t, false, http.StatusOK, "text")
	_, err := newClient(t, entry.URL).Query(context.Background(), api.Statement{})
	must.Eq(t, result.CommandUnconfirmed, result.CodeOf(err))
	_, err = newClient(t, entry.URL).Job(context.Background(), "x")
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err))
}

func TestNewNeedsAnAddress(t *testing.T) {
	_, err := New(nil, "")
	must.Eq(t, result.Malformed, result.CodeOf(err))
}
