package entry

import (
	"net/http"
	"slices"

	"maps"
)

// operators is the operators' HTTP API.
func (e *Entry) operators() http.Handler {
	return http.NotFoundHandler()
}

// Acks returns the revisions that members are known to hold.
func (b *board) Acks() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.acks)
}

// Names returns the endpoints whose agents are attached.
func (a *agents) Names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.links))
}
