package ejection

import "time"

// Order is what the service home wants an owner to do with a backend server.
type Order uint8

const (
	// Serve means that the server takes work; no permit is held.
	Serve Order = iota
	// Eject means that the server takes no work.
	Eject
	// Trial means that the server runs idempotent requests at one slot.
	Trial
)

// Expiry is the time for which an owner obeys a permit without renewal.
const Expiry = 3 * time.Second

// Holder keeps the permit of one backend server at its owner.
type Holder struct {
	order Order
	until time.Time
}

// Apply takes over the order that answered a report. The permit counts from the
// time at which the report was sent, which is before the home granted it. Only
// the answer to the latest report may be applied.
func (h *Holder) Apply(sent time.Time, o Order) {
	h.order, h.until = o, sent.Add(Expiry)
}

// Order returns the order in force.
func (h *Holder) Order(now time.Time) Order {
	if !now.Before(h.until) {
		return Serve
	}
	return h.order
}

// Until returns the time at which the permit expires.
func (h *Holder) Until() time.Time { return h.until }
