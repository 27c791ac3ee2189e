package fleet

import (
	"context"
	"sync"
)

// gate lets goroutines wait while it is closed. The zero gate is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while open
	closed chan struct{} // closed when the gate closes; nil until someone asks
	shut   bool
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shut {
		return
	}
	g.shut = false
	close(g.opened)
	g.opened = nil
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return
	}
	g.shut = true
	g.opened = make(chan struct{})
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.shut
}

// wait returns when the gate is open or ctx ends.
func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-ctx.Done():
	}
}

// whileOpen returns a context that ends when the gate closes.
func (g *gate) whileOpen(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		cancel()
		return ctx, cancel
	}
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
	closed := g.closed
	go func() {
		select {
		case <-closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
