package jujubenode

import (
	"context"

	"gopkg.in/tomb.v2"
)

// taskRunner runs work of requests that goes on when they have ended. A request may outlive the node, and only goroutines of the node may
// start others.
type taskRunner struct {
	tomb *tomb.Tomb
	// taskCh passes tasks to run, which takes them at once.
	taskCh chan func(ctx context.Context)
}

func newTaskRunner(node *tomb.Tomb) *taskRunner {
	return &taskRunner{tomb: node, taskCh: make(chan func(ctx context.Context))}
}

// start runs a task in a goroutine of its own. It returns false if the node is stopping.
func (r *taskRunner) start(task func(ctx context.Context)) bool {
	select {
	case r.taskCh <- task:
		return true
	case <-r.tomb.Dying():
		return false
	}
}

// run starts the tasks until the context ends.
func (r *taskRunner) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-r.taskCh:
			r.tomb.Go(func() error {
				task(ctx)
				return nil
			})
		}
	}
}
