package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/access"
	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/query"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Limits of the administration API.
const (
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes = 64 << 10
	// MaxWait is the longest time that a command may wait to be in force.
	MaxWait = time.Minute
	// backendTimeout bounds the backend's work in addition to the wait.
	backendTimeout = 10 * time.Second
)

// Options are the dependencies of a Handler.
type Options struct {
	Backend Backend
	Guard   *access.Guard
	Log     *zap.Logger
	// Now returns the time for audit records.
	Now func() time.Time
}

// Handler serves POST /v1/query. It is safe for concurrent use.
type Handler struct {
	backend Backend
	audit   *auditLog
	mux     http.Handler
	limits  access.BodyLimits
}

// NewHandler returns a handler that executes statements on a backend.
func NewHandler(o Options) *Handler {
	log := process.WithLogPrefix(o.Log, "admin")
	h := &Handler{
		backend: o.Backend,
		audit:   newAuditLog(log, o.Now),
		limits:  access.BodyLimits{MaxBytes: MaxBodyBytes, Timeout: access.BodyTimeout},
	}
	mux := http.NewServeMux()
	mux.Handle("POST /v1/query", o.Guard.Require(http.HandlerFunc(h.serveQuery), writeError))
	h.mux = mux
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// AuditRecords returns the most recent audit records, oldest first, for the
// state dump.
func (h *Handler) AuditRecords() []AuditRecord { return h.audit.recent() }

func (h *Handler) serveQuery(w http.ResponseWriter, r *http.Request) {
	stmt, err := h.readStatement(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	// Don't cancel a command when its client disconnects: it may already be in
	// the store, and the audit record must contain its result.
	wait := time.Duration(stmt.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), wait+backendTimeout)
	defer cancel()
	writeReply(w, h.execute(ctx, access.IdentityFrom(r.Context()), stmt))
}

func (h *Handler) readStatement(w http.ResponseWriter, r *http.Request) (api.Statement, error) {
	var stmt api.Statement
	body, err := h.limits.Read(w, r)
	if err != nil {
		return stmt, err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&stmt); err != nil {
		return stmt, result.Wrap(result.Malformed, err, "the body is not a valid statement")
	}
	if stmt.WaitMS < 0 || stmt.WaitMS > MaxWait.Milliseconds() {
		return stmt, result.Errorf(result.Malformed, "wait_ms must be from 0 to %d", MaxWait.Milliseconds())
	}
	return stmt, nil
}

// execute parses and executes a statement.
func (h *Handler) execute(ctx context.Context, id access.Identity, stmt api.Statement) api.Reply {
	parsed, err := query.Parse(stmt.Text)
	if err != nil {
		return errorReply(err)
	}
	if parsed.Inspect != nil {
		return h.inspect(ctx, id, *parsed.Inspect)
	}
	c := command{id: id, statement: stmt}
	if parsed.Cancel != nil {
		return h.cancel(ctx, c, *parsed.Cancel)
	}
	return h.edit(ctx, c, *parsed.Edit)
}

// command is a statement that changes something, with the identity of its sender.
type command struct {
	id        access.Identity
	statement api.Statement
}

// auditReply records a command and its reply unless it was a dry run, and returns
// the reply.
func (h *Handler) auditReply(c command, reply api.Reply) api.Reply {
	if !c.statement.DryRun {
		h.audit.record(c, reply)
	}
	return reply
}

func newReply(code result.Code, detail string) api.Reply {
	info := result.Describe(code)
	return api.Reply{Code: code, Name: info.Name, Text: info.Text, Detail: detail}
}

func errorReply(err error) api.Reply {
	return newReply(result.CodeOf(err), result.DetailOf(err))
}

func writeError(w http.ResponseWriter, err error) { writeReply(w, errorReply(err)) }

func writeReply(w http.ResponseWriter, reply api.Reply) {
	access.WriteJSON(w, result.Describe(reply.Code).HTTPStatus, reply)
}
