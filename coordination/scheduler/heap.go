package scheduler

// Heap is a binary heap whose elements can be removed or updated at any index. The
// order of elements that compare equal depends only on the preceding calls.
type Heap[T any] struct {
	less   func(a, b T) bool
	onMove func(e T, index int) // Called with each new index of e, and with -1 when e is removed.
	items  []T
}

// NewHeap returns an empty Heap ordered by less. It calls onMove with each new index
// of an element, and with -1 when the element is removed. The caller stores the
// index to pass it to Fix and Remove.
func NewHeap[T any](less func(a, b T) bool, onMove func(e T, index int)) *Heap[T] {
	return &Heap[T]{less: less, onMove: onMove}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least element. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Items returns the elements in heap order: the first is the least. The slice is
// valid until the next call that changes the heap.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds e.
func (h *Heap[T]) Push(e T) {
	h.items = append(h.items, e)
	h.siftUp(len(h.items) - 1)
}

// Remove removes the element at index.
func (h *Heap[T]) Remove(index int) {
	last := len(h.items) - 1
	removed := h.items[index]
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if index != last {
		h.items[index] = moved
		h.Fix(index)
	}
	h.onMove(removed, -1)
}

// Fix restores the order after the element at index has changed.
func (h *Heap[T]) Fix(index int) {
	h.siftUp(index)
	h.siftDown(index)
}

// siftUp moves the element at i towards the root.
func (h *Heap[T]) siftUp(i int) {
	e := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(e, h.items[parent]) {
			break
		}
		h.place(i, h.items[parent])
		i = parent
	}
	h.place(i, e)
}

// siftDown moves the element at i towards the leaves.
func (h *Heap[T]) siftDown(i int) {
	e := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], e) {
			break
		}
		h.place(i, h.items[child])
		i = child
	}
	h.place(i, e)
}

// place stores e at index i.
func (h *Heap[T]) place(i int, e T) {
	h.items[i] = e
	h.onMove(e, i)
}
