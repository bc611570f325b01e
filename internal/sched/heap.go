package sched

// heapOrder orders the items of an indexedHeap and tells where an item keeps its
// position in it.
type heapOrder[T any] interface {
	before(a, b T) bool
	index(item T) *int
}

// indexedHeap is a heap.Interface whose items know their position, so that one of
// them can be moved or removed without a search. The position is -1 outside the
// heap. O is a type without state.
type indexedHeap[T any, O heapOrder[T]] []T

func (h indexedHeap[T, O]) Len() int { return len(h) }

func (h indexedHeap[T, O]) Less(a, b int) bool {
	var order O
	return order.before(h[a], h[b])
}

func (h indexedHeap[T, O]) Swap(a, b int) {
	var order O
	h[a], h[b] = h[b], h[a]
	*order.index(h[a]) = a
	*order.index(h[b]) = b
}

// Push implements heap.Interface.
func (h *indexedHeap[T, O]) Push(x any) {
	var order O
	item := x.(T)
	*order.index(item) = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T, O]) Pop() any {
	var order O
	var none T
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = none
	*h = (*h)[:last]
	*order.index(item) = -1
	return item
}
