// Package reserver bounds the memory that is held for requests and responses, by
// customer and in total.
//
// What a customer may hold depends on what is free: half of the free memory for large amounts,
// and eight times the free memory for small ones. One customer alone thus gets a third of the
// memory for large amounts, and loses the claim to it as others ask for some. Half of the memory
// is left to the small amounts that a request needs before it may run, and to what is charged.
package reserver

import "sync"

// Multiples of the free memory that a customer may hold.
const (
	growFactor    = 0.5 // Limits one customer to a third of the memory.
	reserveFactor = 8   // Limits one customer to 8/9 of the memory, so that others can still be admitted.
)

// growReserve is the part of the memory that Grow leaves free: limit divided by this.
const growReserve = 2

// Reserver counts reserved bytes. It is safe for concurrent use. Its methods take the name of a
// customer; the empty name stands for senders that are not known yet.
type Reserver struct {
	mu    sync.Mutex
	limit int64
	held  int64
	by    map[string]int64 // Bytes by customer; customers that hold none are left out.
}

// New returns a Reserver of limit bytes in total; zero for no limit.
func New(limit int64) *Reserver {
	return &Reserver{limit: limit, by: map[string]int64{}}
}

// Reserve reserves n bytes without which a request can't be served. It reports whether there are
// as many for the customer.
func (r *Reserver) Reserve(customer string, n int64) bool {
	return r.add(customer, n, reserveFactor, 0)
}

// Grow reserves n more bytes that a request can do without for now, or that are large. It leaves
// memory for Reserve, and reports whether there are as many for the customer.
func (r *Reserver) Grow(customer string, n int64) bool {
	return r.add(customer, n, growFactor, r.limit/growReserve)
}

// Charge adds n bytes that are in use in any case, such as socket buffers. They may exceed the
// limit; nothing more is reserved then until others are released.
func (r *Reserver) Charge(customer string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += n
	r.by[customer] += n
}

// Release returns n bytes of the customer.
func (r *Reserver) Release(customer string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= n
	if r.by[customer] -= n; r.by[customer] <= 0 {
		delete(r.by, customer)
	}
}

// Held returns the number of bytes that are reserved.
func (r *Reserver) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// Limit returns the limit in bytes; zero for none.
func (r *Reserver) Limit() int64 { return r.limit }

// add reserves n bytes if the customer then holds at most factor times what is left, and at least
// reserve bytes are left.
func (r *Reserver) add(customer string, n int64, factor float64, reserve int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit > 0 {
		free := r.limit - r.held - n
		if free < reserve || float64(r.by[customer]+n) > factor*float64(free) {
			return false
		}
	}
	r.held += n
	r.by[customer] += n
	return true
}
