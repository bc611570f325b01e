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

// maxAudited is the number of commands kept for the state dump.
const maxAudited = 200

// Command is one audited command of this entry.
type Command struct {
	At       time.Time   `json:"at"`
	Who      string      `json:"who"`
	What     string      `json:"what"`
	Revision uint64      `json:"revision,omitempty"`
	Code     result.Code `json:"code"`
	Name     string      `json:"name"`
	Detail   string      `json:"detail,omitempty"`
}

// audit logs commands and keeps the last of them.
type audit struct {
	log *zap.Logger
	now func() time.Time

	mu   sync.Mutex
	last []Command
}

func newAudit(log *zap.Logger, now func() time.Time) *audit {
	return &audit{log: log, now: now}
}

func (a *audit) add(c command, reply api.Reply) {
	line := Command{
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
	if len(a.last) == maxAudited {
		a.last = slices.Delete(a.last, 0, 1)
	}
	a.last = append(a.last, line)
}

// commands returns a copy, oldest first.
func (a *audit) commands() []Command {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.last)
}
