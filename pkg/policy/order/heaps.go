package order

// heapItem is an element that knows its place, so that it can be removed from
// the middle of a heap.
type heapItem[T any] interface {
	// before orders the heap.
	before(other T) bool
	// move notes the place in the heap; -1 when the element has left it.
	move(place int)
}

// itemHeap implements container/heap for elements that know their place.
type itemHeap[T heapItem[T]] []T

// Len counts the elements.
func (h itemHeap[T]) Len() int { return len(h) }

// Less compares two elements.
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap exchanges two elements.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].move(i)
	h[j].move(j)
}

// Push adds an element at the end.
func (h *itemHeap[T]) Push(x any) {
	item := x.(T)
	item.move(len(*h))
	*h = append(*h, item)
}

// Pop removes the element at the end.
func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	item.move(-1)
	return item
}

// before orders waiting calls by key, then by arrival in the queue.
func (c *waitingCall) before(other *waitingCall) bool {
	if c.key != other.key {
		return c.key < other.key
	}
	return c.sequence < other.sequence
}

func (c *waitingCall) move(place int) { c.place = place }

// before orders the lanes with a backlog by the tag of their account, then by name.
func (l *lane) before(other *lane) bool {
	if l.owner.tag != other.owner.tag {
		return l.owner.tag < other.owner.tag
	}
	return l.owner.id < other.owner.id
}

func (l *lane) move(place int) { l.place = place }
