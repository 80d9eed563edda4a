package jujubeevent

import (
	"fmt"
	"io"
	"sync"
)

// AsyncWriter passes lines to a slow output in the background, so that Write never blocks on it.
type AsyncWriter struct {
	output io.Writer
	lines  chan []byte
	// done is closed when the background writer has ended.
	done chan struct{}

	mu sync.Mutex
	// closed is true once lines are no longer accepted.
	closed bool
	// dropped counts the lines that were dropped because the buffer was full and that haven't been reported yet.
	dropped int
}

// NewAsyncWriter returns a writer that buffers up to the given number of lines, and a function that writes the buffered
// lines and closes it.
func NewAsyncWriter(output io.Writer, lines int) (*AsyncWriter, func()) {
	w := &AsyncWriter{output: output, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

// Write buffers one line, or drops it if the buffer is full. Once the buffer is less than half full again, the number of
// dropped lines is written before the next line.
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

// maxBatchBytes is the size at which a write to the output gets no further lines. Collectors may cut larger ones off.
const maxBatchBytes = 4 << 10

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		batch := line
		for len(batch) < maxBatchBytes && len(w.lines) > 0 {
			batch = append(batch, <-w.lines...)
		}
		// There is nowhere else to report that the log can't be written.
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
