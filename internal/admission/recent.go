package admission

import (
	"container/list"
	"strings"
	"time"
)

// recent is a map with a bounded number of entries. Those that were not touched for
// the longest time are dropped first, and all after the retention time.
type recent[V any] struct {
	maxEntries int
	retention  time.Duration
	elements   map[string]*list.Element
	// order holds the entries, the least recently touched first.
	order list.List
}

// recentEntry is one entry of a recent map.
type recentEntry[V any] struct {
	key       string
	touchedAt time.Duration
	value     V
}

func newRecent[V any](maxEntries int, retention time.Duration) *recent[V] {
	return &recent[V]{maxEntries: maxEntries, retention: retention, elements: map[string]*list.Element{}}
}

// find returns the entry of a key, nil if there is none.
func (r *recent[V]) find(key string, now time.Duration) *recentEntry[V] {
	r.dropOld(now)
	if element := r.elements[key]; element != nil {
		return element.Value.(*recentEntry[V])
	}
	return nil
}

// touch returns the entry of a key, which it adds if there is none.
func (r *recent[V]) touch(key string, now time.Duration) *recentEntry[V] {
	r.dropOld(now)
	element := r.elements[key]
	if element == nil {
		if r.order.Len() >= r.maxEntries {
			r.dropFirst()
		}
		// A key may be a part of a longer string, which must not be kept.
		entry := &recentEntry[V]{key: strings.Clone(key)}
		element = r.order.PushBack(entry)
		r.elements[entry.key] = element
	}
	r.order.MoveToBack(element)
	entry := element.Value.(*recentEntry[V])
	entry.touchedAt = now
	return entry
}

// remove drops the entry of a key.
func (r *recent[V]) remove(key string) {
	if element := r.elements[key]; element != nil {
		r.order.Remove(element)
		delete(r.elements, key)
	}
}

// dropOld drops the entries whose retention time has passed.
func (r *recent[V]) dropOld(now time.Duration) {
	for r.order.Len() > 0 && now-r.order.Front().Value.(*recentEntry[V]).touchedAt > r.retention {
		r.dropFirst()
	}
}

func (r *recent[V]) dropFirst() { r.remove(r.order.Front().Value.(*recentEntry[V]).key) }
