package owner

import (
	"time"

	"trefoildock.example/mesh/h1"
)

// observeLeaving takes the backend server out of service if a response says that it leaves.
func (o *Owner) observeLeaving(r *activeRequest, b *backend, resp *h1.UpstreamResponse) {
	if !o.headers.Leaving(resp.Header) {
		return
	}
	o.mu.Lock()
	known := b.leaving
	b.leaving = true
	o.recordDeparture(b)
	o.updateGateState()
	o.mu.Unlock()
	if !known {
		o.cfg.Logger.Log("event", "backend server leaves", "backend", b.announcement.ID, "request", r.offer.GetRequestId())
		o.cfg.OnChange()
	}
}

// allowResend reports whether a request may be sent again on a new connection, which the
// backend server may count as a second arrival.
func (o *Owner) allowResend(r *activeRequest, b *backend) bool {
	if !r.offer.GetIdempotent() {
		return false
	}
	o.mu.Lock()
	now := time.Now()
	ok := o.takeCold(now, b) && b.namedLimit.take(now)
	o.mu.Unlock()
	return ok && o.cfg.AllowResend(r.ctx, r.offer.GetService())
}

// observeLimit records the limit that a response names, or that it names none any more. A
// response without a signature may come from elsewhere and ends no limit.
func (o *Owner) observeLimit(r *activeRequest, b *backend, resp *h1.UpstreamResponse) {
	rate, named, err := o.headers.RateLimit(resp.Header)
	if err != nil {
		o.cfg.Logger.Log("event", "limit of the backend server ignored", "request", r.offer.GetRequestId(), "backend", b.announcement.ID, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	before := b.namedLimit.rate
	switch {
	case named:
		b.namedLimit.set(time.Now(), rate)
	case o.headers.HasSignature(resp.Header):
		b.namedLimit = namedLimit{}
	default:
		return
	}
	b.answered = true
	if b.namedLimit.rate != before {
		o.cfg.Logger.Log("event", "limit of the backend server changed", "request", r.offer.GetRequestId(), "backend", b.announcement.ID,
			"before", before, "limit", b.namedLimit.rate)
	}
}
