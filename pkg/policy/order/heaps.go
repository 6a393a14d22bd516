package order

// heapItem is a heap element that stores its index, so that it can be removed from
// the middle of the heap.
type heapItem[T any] interface {
	// before reports whether the element is popped before other.
	before(other T) bool
	// setIndex stores the index in the heap; -1 after the element was removed.
	setIndex(index int)
}

// itemHeap implements heap.Interface for elements that store their index.
type itemHeap[T heapItem[T]] []T

// Len returns the number of elements.
func (h itemHeap[T]) Len() int { return len(h) }

// Less reports whether element i is popped before element j.
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap exchanges two elements.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push adds an element at the end.
func (h *itemHeap[T]) Push(x any) {
	item := x.(T)
	item.setIndex(len(*h))
	*h = append(*h, item)
}

// Pop removes the element at the end.
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	item.setIndex(-1)
	return item
}

// before orders waiting calls by sort key, then by the order in which they were
// pushed.
func (c *waitingCall) before(other *waitingCall) bool {
	if c.sortKey != other.sortKey {
		return c.sortKey < other.sortKey
	}
	return c.sequence < other.sequence
}

func (c *waitingCall) setIndex(place int) { c.index = place }

// before orders the account queues by the start tag of their account, then by its
// ID.
func (l *accountQueue) before(other *accountQueue) bool {
	if l.account.startTag != other.account.startTag {
		return l.account.startTag < other.account.startTag
	}
	return l.account.id < other.account.id
}

func (l *accountQueue) setIndex(place int) { l.index = place }
