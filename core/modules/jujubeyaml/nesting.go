package jujubeyaml

import (
	"bytes"
	"fmt"
)

// Limits on the nesting of a text. The parser's run time is quadratic in the nesting depth: 120 KB of opening brackets take
// several seconds. The line length limits the nesting of block lists that begin on one line.
const (
	MaxLineBytes = 1024
	MaxFlowDepth = 32
)

// checkNesting returns the first position that exceeds a limit, and whether the text is within the limits. It also counts
// brackets in comments and quotes, which only matters for texts with more than MaxFlowDepth unclosed ones.
func checkNesting(data []byte) (Problem, bool) {
	depth, lineNo := 0, 0
	for line := range bytes.Lines(data) {
		lineNo++
		if len(line) > MaxLineBytes {
			return Problem{Line: lineNo, Column: MaxLineBytes, Reason: fmt.Sprintf("the line is longer than %d bytes", MaxLineBytes)}, false
		}
		for i, char := range line {
			switch char {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(0, depth-1)
			}
			if depth > MaxFlowDepth {
				return Problem{Line: lineNo, Column: i + 1, Reason: fmt.Sprintf("more than %d brackets are open", MaxFlowDepth)}, false
			}
		}
	}
	return Problem{}, true
}
