//go:build review2

package main

import (
	"bytes"
	"net/http"
	"sync"
)

// gate is the way of one process to the stand-in store. It can be cut silently, and it can
// lose the answers to writes that the store has carried out.
type gate struct {
	name  string
	store http.Handler
	rec   *record

	mu         sync.Mutex
	cut        bool
	loseWrites int
}

// setCut cuts the way, or restores it.
func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// isCut reports whether the way is cut.
func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// losesAnswer reports whether the answer to a call is lost.
func (g *gate) losesAnswer(r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Method != http.MethodPost || (r.URL.Path != "/kv-lease" && r.URL.Path != "/kv-txn") {
		return false
	}
	g.rec.add("store: write %s of %s carried out", r.URL.Path, g.name)
	if g.loseWrites == 0 {
		return false
	}
	g.loseWrites--
	g.rec.add("store: the answer to %s is lost", g.name)
	return true
}

// answer holds a response until it is known whether it gets through.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(p []byte) (int, error) { return a.body.Write(p) }

// ServeHTTP passes a call to the store, unless the way is cut before or meanwhile. A call
// without an answer hangs until the caller gives it up.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	a := &answer{header: http.Header{}, status: http.StatusOK}
	g.store.ServeHTTP(a, r)
	if g.losesAnswer(r) || g.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for key, values := range a.header {
		w.Header()[key] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes())
}
