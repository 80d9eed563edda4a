package jujubeevent

import (
	"fmt"
	"io"
	"sync"
)

// AsyncWriter hands lines to a slower output without ever waiting for it.
type AsyncWriter struct {
	output io.Writer
	lines  chan []byte
	done   chan struct{}

	mu sync.Mutex
	// closed is true once no more lines are taken.
	closed bool
	// dropped counts the lines that found the buffer full since the last line that didn't.
	dropped int
}

// NewAsyncWriter returns a writer with a buffer of so many lines. The clean-up function writes what is buffered.
func NewAsyncWriter(output io.Writer, lines int) (*AsyncWriter, func()) {
	w := &AsyncWriter{output: output, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

// Write buffers one line, or drops it when the buffer is full. The number of dropped lines is written before the next
// line that has room.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if w.dropped > 0 && len(w.lines) < cap(w.lines)/2 {
		w.lines <- fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"LinesDropped\",\"Count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

// maxBatch bounds the bytes of one write to the output.
const maxBatch = 64 << 10

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		batch := line
		for len(batch) < maxBatch && len(w.lines) > 0 {
			batch = append(batch, <-w.lines...)
		}
		// A log that can't be written has no other place to say so.
		_, _ = w.output.Write(batch)
	}
}

func (w *AsyncWriter) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}
