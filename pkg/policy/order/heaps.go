package order

// callHeap orders waiting calls by key, then by arrival in the queue.
type callHeap []*waitingCall

// Len counts the calls.
func (h callHeap) Len() int { return len(h) }

// Less compares two calls.
func (h callHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].sequence < h[j].sequence
}

// Swap exchanges two calls.
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds a call at the end.
func (h *callHeap) Push(x any) {
	item := x.(*waitingCall)
	item.place = len(*h)
	*h = append(*h, item)
}

// Pop removes the call at the end.
func (h *callHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}

// accountHeap orders the accounts with a backlog by tag, then by name.
type accountHeap []*account

// Len counts the accounts.
func (h accountHeap) Len() int { return len(h) }

// Less compares two accounts.
func (h accountHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].id < h[j].id
}

// Swap exchanges two accounts.
func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds an account at the end.
func (h *accountHeap) Push(x any) {
	item := x.(*account)
	item.place = len(*h)
	*h = append(*h, item)
}

// Pop removes the account at the end.
func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.place = -1
	return item
}
