package jujubehttp

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// maxShownLine bounds what an error shows of a line.
const maxShownLine = 80

// ErrInvalidHead is returned for a response whose head isn't one. Nothing in such a response counts, so it isn't known whether the request has
// run.
type ErrInvalidHead struct {
	Reason string
}

// Error returns the reason.
func (e ErrInvalidHead) Error() string { return "the response has an invalid head: " + e.Reason }

// headState is the part of a response's head that is expected next.
type headState int

const (
	headVersion headState = iota
	headStatus
	// headValue lasts until the line ends: a field's value or the reason phrase.
	headValue
	headLine
	headName
	// headEmptyLine is after the carriage return of the line that ends the head.
	headEmptyLine
	headEnded
	headInvalid
)

// responseHead follows the bytes of a response, after those of interim responses, to the end of its head, and checks that the name of each field
// is a token. net/http accepts blanks in names, doesn't count such a field as the one it resembles, and takes a line that begins with a blank for
// the continuation of the one before, which RFC 9112 lets a gateway refuse.
type responseHead struct {
	state headState
	// status is the beginning of the status code.
	status []byte
	// err is set in headInvalid.
	err error
}

// follow reads further bytes. For an invalid head it returns how many of them are before the invalid one, and an ErrInvalidHead from then on.
func (h *responseHead) follow(data []byte) (accepted int, err error) {
	line := 0
	for i, next := range data {
		if h.state == headEnded {
			break
		}
		if h.state != headInvalid {
			h.step(next)
		}
		if h.state == headInvalid {
			if h.err == nil {
				shown, _, _ := bytes.Cut(data[line:min(len(data), line+maxShownLine)], []byte("\n"))
				h.err = ErrInvalidHead{fmt.Sprintf("line %q", shown)}
			}
			return i, h.err
		}
		if next == '\n' {
			line = i + 1
		}
	}
	return len(data), h.err
}

// step reads one byte.
func (h *responseHead) step(next byte) {
	isToken := httpguts.IsTokenRune(rune(next))
	switch h.state {
	case headVersion, headStatus, headValue:
		h.stepLine(next)
	case headLine:
		switch {
		case next == '\n':
			h.end()
		case next == '\r':
			h.state = headEmptyLine
		case isToken:
			h.state = headName
		default:
			h.state = headInvalid
		}
	case headName:
		switch {
		case next == ':':
			h.state = headValue
		case !isToken:
			h.state = headInvalid
		}
	case headEmptyLine:
		if next == '\n' {
			h.end()
		} else {
			h.state = headInvalid
		}
	}
}

// stepLine reads one byte of the status line or of a field's value, which net/http checks.
func (h *responseHead) stepLine(next byte) {
	switch {
	case next == '\n':
		h.state = headLine
	case h.state == headVersion && next == ' ':
		h.state = headStatus
	case h.state == headStatus && next == ' ' && len(h.status) == 0: // net/http skips further blanks
	case h.state == headStatus && (next == ' ' || next == '\r'):
		h.state = headValue
	case h.state == headStatus && len(h.status) <= len("100"):
		h.status = append(h.status, next)
	}
}

// end ends the head. Another one follows that of an interim response.
func (h *responseHead) end() {
	isInterim := len(h.status) == len("100") && h.status[0] == '1' && string(h.status) != "101"
	*h = responseHead{state: headEnded}
	if isInterim {
		h.state = headVersion
	}
}
