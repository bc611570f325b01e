// Package outbox queues items from many goroutines for one reader, which takes
// all queued items at once, in order to send them together, and doesn't wait
// for more.
package outbox

import (
	"context"
	"sync"
)

// Outbox is an unbounded queue with one reader.
type Outbox[T any] struct {
	mu     sync.Mutex
	items  []T
	closed bool
	ready  chan struct{}
}

// New returns an empty outbox.
func New[T any]() *Outbox[T] {
	return &Outbox[T]{ready: make(chan struct{}, 1)}
}

// Put queues an item and reports whether it did. After Close it drops the item.
func (o *Outbox[T]) Put(item T) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.items = append(o.items, item)
	o.wake()
	return true
}

// Close closes the outbox; queued items can still be taken.
func (o *Outbox[T]) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.wake()
}

func (o *Outbox[T]) wake() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// TakeAll waits until an item is queued, and returns all queued items and true.
// It returns false if the outbox is closed and empty, or if ctx has ended.
func (o *Outbox[T]) TakeAll(ctx context.Context) ([]T, bool) {
	for {
		items, closed := o.TryTakeAll()
		if len(items) > 0 {
			return items, true
		}
		if closed {
			return nil, false
		}
		select {
		case <-o.ready:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// Ready returns a channel that receives a value when an item has been queued,
// or after Wake or Close.
func (o *Outbox[T]) Ready() <-chan struct{} { return o.ready }

// Wake wakes the reader without an item.
func (o *Outbox[T]) Wake() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wake()
}

// TryTakeAll returns all queued items without waiting, and reports whether the
// outbox is closed.
func (o *Outbox[T]) TryTakeAll() ([]T, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	items := o.items
	o.items = nil
	if o.closed {
		o.wake()
	}
	return items, o.closed
}
