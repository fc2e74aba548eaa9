package scheduler

// Heap is a binary heap whose elements can be removed and moved from any
// place. Elements that compare equal come out in an order that depends only on
// the calls before.
type Heap[T any] struct {
	less  func(a, b T) bool
	moved func(e T, index int) // Told of each new index of e; -1 when it left.
	items []T
}

// NewHeap returns an empty Heap ordered by less. The elements keep the index
// that moved tells, to pass it to Fix and Remove.
func NewHeap[T any](less func(a, b T) bool, moved func(e T, index int)) *Heap[T] {
	return &Heap[T]{less: less, moved: moved}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least element. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Items returns the elements in heap order: the first is the least. It is valid
// until the next call that changes the heap.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds e.
func (h *Heap[T]) Push(e T) {
	h.items = append(h.items, e)
	h.up(len(h.items) - 1)
}

// Remove takes out the element at index.
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
	h.moved(removed, -1)
}

// Fix restores the order after the element at index has changed.
func (h *Heap[T]) Fix(index int) {
	h.up(index)
	h.down(index)
}

// up moves the element at i towards the root.
func (h *Heap[T]) up(i int) {
	e := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(e, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, e)
}

// down moves the element at i towards the leaves.
func (h *Heap[T]) down(i int) {
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
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, e)
}

// set puts e at index i.
func (h *Heap[T]) set(i int, e T) {
	h.items[i] = e
	h.moved(e, i)
}
