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

// maxAuditRecords is the number of commands kept for the state dump.
const maxAuditRecords = 200

// AuditRecord is one audited command of this entry.
type AuditRecord struct {
	At       time.Time   `json:"at"`
	Who      string      `json:"who"`
	What     string      `json:"what"`
	Revision uint64      `json:"revision,omitempty"`
	Code     result.Code `json:"code"`
	Name     string      `json:"name"`
	Detail   string      `json:"detail,omitempty"`
}

// auditLog logs commands and keeps the last of them.
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
	line := AuditRecord{
		At:       a.now(),
		Who:      c.id.Name,
		What:     strings.TrimSpace(c.statement.Text),
		Revision: reply.Revision,
		Code:     reply.Code,
		Name:     reply.Name,
		Detail:   reply.Detail,
	}
	a.log.Info("command",
		zap.String("who", line.Who),
		zap.String("what", line.What),
		zap.Uint64("revision", line.Revision),
		zap.Uint32("code", uint32(line.Code)),
		zap.String("name", line.Name),
		zap.String("detail", line.Detail))
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.records) == maxAuditRecords {
		a.records = slices.Delete(a.records, 0, 1)
	}
	a.records = append(a.records, line)
}

// recent returns a copy, oldest first.
func (a *auditLog) recent() []AuditRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.records)
}
