package router

import (
	"context"
	"sync"
)

// stopContext is the parent of the contexts of all requests. Once it is stopped, these end
// as if their timeout had expired, so that each caller is told what is known of its request.
type stopContext struct {
	context.Context
	done chan struct{}
	once sync.Once
}

func newStopContext() *stopContext {
	return &stopContext{Context: context.Background(), done: make(chan struct{})}
}

// stop ends the context.
func (c *stopContext) stop() { c.once.Do(func() { close(c.done) }) }

// Done implements context.Context.
func (c *stopContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *stopContext) Err() error {
	select {
	case <-c.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}
