package admission

import (
	"testing"
	"time"
)

// BenchmarkOfferDone measures the cost of one request on an idle controller.
func BenchmarkOfferDone(b *testing.B) {
	c := New(Config{})
	c.Announce(epoch, Announcement{Slots: 3, Incarnation: "a"})
	b.ReportAllocs()
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		d, _ := c.Offer(now, Request{Team: "a", Deadline: now.Add(time.Second)})
		c.Done(now, d.Ticket, Success)
	}
}

// BenchmarkFullQueue measures the cost of one request while the queue is full and
// holds requests of 64 teams.
func BenchmarkFullQueue(b *testing.B) {
	c := New(Config{})
	c.Announce(epoch, Announcement{Slots: 3, Incarnation: "a"})
	running, _ := c.Offer(epoch, Request{Team: "a"})
	for i := range 256 {
		c.Offer(epoch, Request{Team: string(rune('A' + i%64)), Weight: uint32(i % 7)})
	}
	b.ReportAllocs()
	t := running.Ticket
	for i := 0; b.Loop(); i++ {
		out := c.Done(epoch, t, Canceled)
		t = out[0].Ticket
		c.Offer(epoch, Request{Team: string(rune('A' + i%64))})
	}
}
