package gate

import (
	"sync"
	"time"
)

// heldBodies lists the ended tasks whose bodies are held, oldest first.
type heldBodies struct {
	mu sync.Mutex
	// queue may hold tasks whose bodies were dropped early.
	queue []heldBody
	bytes int64
}

type heldBody struct {
	task Task
	// ended is the instant at which the task ended.
	ended time.Duration
}

// add lists a body.
func (h *heldBodies) add(now time.Duration, t Task, size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue = append(h.queue, heldBody{task: t, ended: now})
	h.bytes += size
}

// evictOverLimit takes the oldest task off the list while more than limit bytes are
// held.
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

// subtractBytes counts down the bytes of a body that was dropped.
func (h *heldBodies) subtractBytes(size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes -= size
}

// expire returns the tasks that ended before the instant given.
func (h *heldBodies) expire(before time.Duration) []Task {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Task
	for len(h.queue) > 0 && h.queue[0].ended < before {
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
