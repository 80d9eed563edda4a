package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// batchWriter collects values for a short time and writes them together.
type batchWriter[T any] struct {
	queue chan pendingWrite[T]
	// delay is how long values are collected.
	delay time.Duration
	write func(ctx context.Context, batch []T) error
}

// pendingWrite is a value that is queued to be written.
type pendingWrite[T any] struct {
	value     T
	writtenCh chan error
}

func newBatchWriter[T any](size int, delay time.Duration, write func(ctx context.Context, batch []T) error) *batchWriter[T] {
	return &batchWriter[T]{queue: make(chan pendingWrite[T], size), delay: delay, write: write}
}

// add queues a value and waits until it is written.
func (w *batchWriter[T]) add(ctx context.Context, value T) error {
	pending := pendingWrite[T]{value: value, writtenCh: make(chan error, 1)}
	select {
	case w.queue <- pending:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "queue record")
	}
	select {
	case err := <-pending.writtenCh:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write record")
	}
}

// run writes the queued values in batches until the context ends.
func (w *batchWriter[T]) run(ctx context.Context) error {
	for {
		var batch []pendingWrite[T]
		select {
		case <-ctx.Done():
			return nil
		case pending := <-w.queue:
			batch = append(batch, pending)
		}
		sleep(ctx, w.delay)
		batch = drainQueue(w.queue, batch)
		values := make([]T, len(batch))
		for i, pending := range batch {
			values[i] = pending.value
		}
		err := w.write(ctx, values)
		for _, pending := range batch {
			pending.writtenCh <- err
		}
	}
}

// drainQueue appends all queued elements to list without blocking.
func drainQueue[T any](queue <-chan T, list []T) []T {
	for {
		select {
		case element := <-queue:
			list = append(list, element)
		default:
			return list
		}
	}
}
