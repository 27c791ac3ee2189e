package admission

import "time"

// FIFO is the baseline for experiments: a single bounded FIFO queue that uses
// all slots from the start and does not check deadlines.
type FIFO struct {
	slots, capacity, inFlight int
	last                      Ticket
	queue                     []Ticket
}

// NewFIFO returns a baseline with the given number of slots and queue capacity.
func NewFIFO(slots, capacity int) *FIFO {
	return &FIFO{slots: slots, capacity: capacity}
}

// Offer admits, queues or rejects a request.
func (f *FIFO) Offer(_ time.Time, _ Request) (Decision, []Decision) {
	f.last++
	if f.inFlight < f.slots {
		f.inFlight++
		return Decision{Ticket: f.last, Outcome: Admitted}, nil
	}
	if len(f.queue) >= f.capacity {
		return Decision{Ticket: f.last, Outcome: Refused, Code: CodeQueueFull, RetryAfter: time.Second}, nil
	}
	f.queue = append(f.queue, f.last)
	return Decision{Ticket: f.last, Outcome: Queued}, nil
}

// Done releases a slot and starts the oldest queued request.
func (f *FIFO) Done(_ time.Time, _ Ticket, _ Result) []Decision {
	f.inFlight--
	if len(f.queue) == 0 {
		return nil
	}
	t := f.queue[0]
	f.queue = f.queue[1:]
	f.inFlight++
	return []Decision{{Ticket: t, Outcome: Admitted}}
}

// Load returns the load that is attached to responses.
func (f *FIFO) Load() Load {
	return Load{InFlight: uint32(f.inFlight), Queued: uint32(len(f.queue)), Limit: uint32(f.slots), Weight: FullWeight}
}
