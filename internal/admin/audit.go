package admin

import (
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// maxAuditRecords is the number of audit records kept for the state dump.
const maxAuditRecords = 200

// AuditRecord describes one command that this entry executed or refused.
type AuditRecord struct {
	At       time.Time   `json:"at"`
	Who      string      `json:"who"`
	What     string      `json:"what"`
	Revision uint64      `json:"revision,omitempty"`
	Code     result.Code `json:"code"`
	Name     string      `json:"name"`
	Detail   string      `json:"detail,omitempty"`
}

// auditLog logs commands and keeps the most recent ones.
type auditLog struct {
	log *zap.Logger
	now func() time.Time

	mu      sync.Mutex
	records []AuditRecord
}

func newAuditLog(log *zap.Logger, now func() time.Time) *auditLog {
	return &auditLog{log: log, now: now}
}

func (a *auditLog) record(c command, reply api.Reply) {
	rec := AuditRecord{
		At:       a.now(),
		Who:      c.id.Name,
		What:     strings.TrimSpace(c.statement.Text),
		Revision: reply.Revision,
		Code:     reply.Code,
		Name:     reply.Name,
		Detail:   reply.Detail,
	}
	a.log.Info("command",
		zap.String("who", rec.Who),
		zap.String("what", rec.What),
		zap.Uint64("revision", rec.Revision),
		zap.Uint32("code", uint32(rec.Code)),
		zap.String("name", rec.Name),
		zap.String("detail", rec.Detail))
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.records) == maxAuditRecords {
		a.records = slices.Delete(a.records, 0, 1)
	}
	a.records = append(a.records, rec)
}

// recent returns a copy of the kept records, oldest first.
func (a *auditLog) recent() []AuditRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.records)
}
