// Package bodymem bounds the memory that the buffered bodies of requests and responses take
// in a process.
package bodymem

import (
	"context"
	"io"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
)

const (
	// smallBytes is the size up to which a body is small. Small bodies never wait.
	smallBytes = 1 << 20
	// largeShare is the share of the budget for large bodies, which cannot displace small
	// ones.
	largeShare = 0.75
	// firstBufferBytes is the initial buffer size of a body of unknown length.
	firstBufferBytes = 4 << 10
)

// ErrExhausted means that the memory for bodies is in use.
var ErrExhausted = errors.New("the memory for bodies is in use")

// ErrTooLarge means that a body is larger than its limit.
var ErrTooLarge = errors.New("body is larger than the limit")

// Budget is the memory for the bodies of a process. A nil Budget has no limit.
type Budget struct {
	limit int64

	mu sync.Mutex
	// small and large are the reserved bytes.
	small, large int64
	// waiting holds the large reservations that wait, in order of arrival.
	waiting []*waiter
}

type waiter struct {
	bytes   int64
	granted chan struct{}
}

// New returns a Budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Register registers the gauge of the reserved bytes.
func (b *Budget) Register(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("process.body_bytes", r, b.Used)
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// pool returns the counter of the reserved bytes to which a reservation belongs.
func (b *Budget) pool(n int64) *int64 {
	if n <= smallBytes {
		return &b.small
	}
	return &b.large
}

// fits reports whether a reservation may be granted. A body that is larger than the memory
// for large bodies is granted alone. b.mu is held.
func (b *Budget) fits(n int64) bool {
	forLarge := int64(largeShare * float64(b.limit))
	if n <= smallBytes {
		return b.small+n <= b.limit-forLarge
	}
	return b.large == 0 || b.large+n <= forLarge
}

func (b *Budget) tryTake(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > smallBytes && len(b.waiting) > 0 || !b.fits(n) {
		return false
	}
	*b.pool(n) += n
	return true
}

// take waits until n bytes are granted or ctx ends. Only large reservations wait.
func (b *Budget) take(ctx context.Context, n int64) error {
	if b.tryTake(n) {
		return nil
	}
	if n <= smallBytes {
		return ErrExhausted
	}
	w := &waiter{bytes: n, granted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	b.grant()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.grant()
			return ErrExhausted
		}
	}
	return nil // It was granted as ctx ended.
}

func (b *Budget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.pool(n) -= n
	b.grant()
}

// grant grants the reservations that wait, as far as they fit. b.mu is held.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].bytes) {
		b.large += b.waiting[0].bytes
		close(b.waiting[0].granted)
		b.waiting = b.waiting[1:]
	}
}

// Reservation is the memory of the bodies of one request. A nil Reservation has no limit. Its
// methods may be called concurrently.
type Reservation struct {
	budget *Budget

	mu sync.Mutex
	// taken holds the sizes of the reservations.
	taken    []int64
	released bool
}

// Reserve returns an empty reservation, or nil if the budget is nil.
func (b *Budget) Reserve() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// Release returns the memory to the budget. Later reservations fail.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	taken := r.taken
	r.taken, r.released = nil, true
	r.mu.Unlock()
	for _, n := range taken {
		r.budget.give(n)
	}
}

// Take reserves n more bytes. If they are not available, a large reservation waits until ctx
// ends, and a small one fails at once with ErrExhausted.
func (r *Reservation) Take(ctx context.Context, n int64) error {
	if r == nil || n <= 0 {
		return nil
	}
	if err := r.budget.take(ctx, n); err != nil {
		return err
	}
	return r.add(n)
}

// tryTake reserves n more bytes if they are available now.
func (r *Reservation) tryTake(n int64) error {
	if r == nil {
		return nil
	}
	if !r.budget.tryTake(n) {
		return ErrExhausted
	}
	return r.add(n)
}

func (r *Reservation) add(n int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		r.budget.give(n)
		return errors.Wrap(ErrExhausted, "the request has ended")
	}
	r.taken = append(r.taken, n)
	return nil
}

// giveBack returns the memory of one call of tryTake to the budget.
func (r *Reservation) giveBack(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	i := slices.Index(r.taken, n)
	if i >= 0 {
		r.taken = slices.Delete(r.taken, i, i+1)
	}
	r.mu.Unlock()
	if i >= 0 {
		r.budget.give(n)
	}
}

// ReadAll reads a body into memory that is added to the reservation. size is its length, or
// negative if it is unknown; limit bounds it, 0 means no limit. The memory for a body of known
// length is reserved before it is read, see Take. A body of unknown length fails with
// ErrExhausted as soon as its memory is not available: what it holds already would not
// become free while it waits.
func (r *Reservation) ReadAll(ctx context.Context, body io.Reader, size, limit int64) ([]byte, error) {
	if limit > 0 && size > limit {
		return nil, ErrTooLarge
	}
	if size >= 0 {
		if err := r.Take(ctx, size); err != nil {
			return nil, err
		}
		buf := make([]byte, size)
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	if err := r.tryTake(firstBufferBytes); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, firstBufferBytes)
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case limit > 0 && int64(len(buf)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return buf, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		old := int64(cap(buf))
		if err := r.tryTake(2 * old); err != nil {
			return nil, err
		}
		buf = append(make([]byte, 0, 2*old), buf...)
		r.giveBack(old)
	}
}
