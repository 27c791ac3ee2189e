package fleet

import (
	"context"
	"sync"
)

// gate blocks goroutines while it is closed. The zero value is open.
type gate struct {
	mu          sync.Mutex
	openSignal  chan struct{} // nil while open
	closeSignal chan struct{} // closed when the gate closes; nil until whileOpen needs it
	isClosed    bool
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isClosed {
		return
	}
	g.isClosed = false
	close(g.openSignal)
	g.openSignal = nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return
	}
	g.isClosed = true
	g.openSignal = make(chan struct{})
	if g.closeSignal != nil {
		close(g.closeSignal)
		g.closeSignal = nil
	}
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isClosed
}

// wait returns when the gate is open or ctx ends.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	signal := g.openSignal
	g.mu.Unlock()
	if signal == nil {
		return
	}
	select {
	case <-signal:
	case <-ctx.Done():
	}
}

// whileOpen returns a context that ends when the gate closes.
func (g *gate) whileOpen(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		cancel()
		return ctx, cancel
	}
	if g.closeSignal == nil {
		g.closeSignal = make(chan struct{})
	}
	signal := g.closeSignal
	go func() {
		select {
		case <-signal:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
