package agent

import (
	"slices"
	"sync"
)

// streamSet holds the open streams.
type streamSet struct {
	mu      sync.Mutex
	streams []*stream
}

func (s *streamSet) add(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, st)
}

func (s *streamSet) remove(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = slices.DeleteFunc(s.streams, func(other *stream) bool { return other == st })
}

func (s *streamSet) list() []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.streams)
}
