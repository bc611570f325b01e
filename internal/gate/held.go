package gate

import (
	"sync"
	"time"
)

// heldBodies lists the ended tasks whose bodies are kept, oldest first.
type heldBodies struct {
	mu sync.Mutex
	// queue may contain tasks whose bodies have been dropped already.
	queue []heldBody
	// bytes is the size of all kept bodies together.
	bytes int64
}

type heldBody struct {
	task Task
	// endedAt is when the task ended.
	endedAt time.Duration
}

// add appends a task whose body has the given size.
func (h *heldBodies) add(now time.Duration, t Task, size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue = append(h.queue, heldBody{task: t, endedAt: now})
	h.bytes += size
}

// evictOverLimit removes and returns the oldest task if the bodies together
// exceed limit bytes. The caller drops the body.
func (h *heldBodies) evictOverLimit(limit int64) (Task, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes <= limit || len(h.queue) == 0 {
		return Task{}, false
	}
	t := h.queue[0].task
	h.queue = h.queue[1:]
	return t, true
}

// subtractBytes deducts the size of a body that was dropped.
func (h *heldBodies) subtractBytes(size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes -= size
}

// expire removes and returns the tasks that ended before the given time.
func (h *heldBodies) expire(before time.Duration) []Task {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Task
	for len(h.queue) > 0 && h.queue[0].endedAt < before {
		out = append(out, h.queue[0].task)
		h.queue = h.queue[1:]
	}
	return out
}

func (h *heldBodies) totalBytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bytes
}
