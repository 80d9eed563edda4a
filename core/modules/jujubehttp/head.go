package jujubehttp

import "bytes"

// HeadMeter counts the lines of a request's head while it arrives. It doesn't check the head.
type HeadMeter struct {
	// Lines is the number of line ends of the head so far.
	Lines int
	// Ended is true after the empty line that ends the head.
	Ended bool

	// hasLine is true once a line that isn't empty has ended, and hasText while the current line isn't empty.
	hasLine, hasText bool
}

// Add counts further bytes and returns how many of them follow the head.
func (m *HeadMeter) Add(data []byte) (after int) {
	for !m.Ended && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		// An empty line may have a carriage return, also one that arrived before.
		if len(line) > 1 || len(line) == 1 && line[0] != '\r' {
			m.hasText = true
		}
		if end < 0 {
			return 0
		}
		m.Lines++
		m.Ended = m.hasLine && !m.hasText
		m.hasLine, m.hasText = m.hasLine || m.hasText, false
		data = data[end+1:]
	}
	return len(data)
}
