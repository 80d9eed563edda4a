package jujubehttp

import "bytes"

// HeadMeter counts the lines of a request's head while it arrives. It doesn't check the head.
type HeadMeter struct {
	// Lines is the number of line ends of the head so far.
	Lines int
	// Ended is true after the empty line that ends the head.
	Ended bool

	// hasLine is true once a line that isn't empty has ended, hasText while the current line isn't empty, and hasReturn after its first
	// byte, which is a carriage return as long as the line has no text.
	hasLine, hasText, hasReturn bool
}

// Add counts further bytes and returns how many of them follow the head.
func (m *HeadMeter) Add(data []byte) (after int) {
	for !m.Ended && len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		// An empty line may have one carriage return, also one that arrived before.
		if len(line) > 0 {
			m.hasText = m.hasText || m.hasReturn || len(line) > 1 || line[0] != '\r'
			m.hasReturn = true
		}
		if end < 0 {
			return 0
		}
		m.Lines++
		m.Ended = m.hasLine && !m.hasText
		m.hasLine, m.hasText, m.hasReturn = m.hasLine || m.hasText, false, false
		data = data[end+1:]
	}
	return len(data)
}
