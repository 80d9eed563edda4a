package jujubeyaml

import (
	"bytes"
	"fmt"
)

// Bounds of a text's nesting. The parser's time grows with the square of the depth: 120 KB of opening brackets take it
// several seconds. A line bounds the nesting of block lists that begin on it.
const (
	MaxLineBytes = 1024
	MaxFlowDepth = 32
)

// checkNesting returns the first place that exceeds a bound. Brackets in comments and quotes count as well, which only
// matters for texts with more than MaxFlowDepth of them left open.
func checkNesting(data []byte) (Problem, bool) {
	depth, number := 0, 0
	for line := range bytes.Lines(data) {
		number++
		if len(line) > MaxLineBytes {
			return Problem{Line: number, Column: MaxLineBytes, Reason: fmt.Sprintf("the line is longer than %d bytes", MaxLineBytes)}, false
		}
		for at, char := range line {
			switch char {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(0, depth-1)
			}
			if depth > MaxFlowDepth {
				return Problem{Line: number, Column: at + 1, Reason: fmt.Sprintf("more than %d brackets are open", MaxFlowDepth)}, false
			}
		}
	}
	return Problem{}, true
}
