package ejection

import "time"

// Order is the instruction of the service coordinator for a backend server.
type Order uint8

const (
	// Serve means that the server accepts requests. It is not a permit.
	Serve Order = iota
	// Eject means that the server accepts no requests.
	Eject
	// Trial means that the server accepts idempotent requests with one slot.
	Trial
)

// Expiry is the time for which an owner node applies a permit without renewal.
const Expiry = 3 * time.Second

// Holder holds the permit of one backend server on its owner node.
type Holder struct {
	order Order
	until time.Time
}

// Apply sets the order from the response to a report. The permit is valid from
// the time at which the report was sent, which is before the coordinator
// granted it. Only the response to the latest report may be applied.
func (h *Holder) Apply(sent time.Time, o Order) {
	h.order, h.until = o, sent.Add(Expiry)
}

// Order returns the order in effect.
func (h *Holder) Order(now time.Time) Order {
	if !now.Before(h.until) {
		return Serve
	}
	return h.order
}

// Until returns the time at which the permit expires.
func (h *Holder) Until() time.Time { return h.until }
