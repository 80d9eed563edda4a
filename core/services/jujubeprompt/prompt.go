// Package jujubeprompt estimates which parts of prompts each server keeps in its KV cache, and weighs the prefill that a kept part
// saves against the wait and the slowdown at the server that keeps it.
//
// A Memory estimates what a server keeps, Rates compute what running a request on a server costs, in time, and a Policy
// decides
// by these inputs. A wrong estimate costs one prefill of the prompt.
package jujubeprompt

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartID identifies a part of a prompt. Equal parts of different prompts have the same id.
type PartID uint64

// Part is a part of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt lists the parts of a request's prompt in order.
type Prompt []Part

// Limits of a prompt's text, which comes from callers. They bound what a request can make an instance store.
const (
	maxParts      = 32
	maxPartTokens = 1 << 20
)

// ErrPrompt reports a text that isn't a prompt.
type ErrPrompt struct {
	Reason string
}

// Error returns the reason.
func (e ErrPrompt) Error() string { return "prompt: " + e.Reason }

// Tokens returns the number of the prompt's tokens.
func (p Prompt) Tokens() int {
	tokens := 0
	for _, part := range p {
		tokens += part.Tokens
	}
	return tokens
}

// MarshalText encodes the prompt as ID:TOKENS,ID:TOKENS with the ids in hexadecimal. Records have one prompt for each item.
func (p Prompt) MarshalText() ([]byte, error) {
	var text []byte
	for i, part := range p {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, uint64(part.ID), 16)
		text = append(text, ':')
		text = strconv.AppendInt(text, int64(part.Tokens), 10)
	}
	return text, nil
}

// UnmarshalText decodes a prompt.
func (p *Prompt) UnmarshalText(text []byte) error {
	*p = nil
	if len(text) == 0 {
		return nil
	}
	parts := bytes.Count(text, []byte{','}) + 1
	if parts > maxParts {
		return ErrPrompt{"too many parts"}
	}
	prompt := make(Prompt, parts)
	rest := string(text)
	for i := range prompt {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		id, count, _ := strings.Cut(strings.TrimSpace(field), ":")
		number, err := parseID(id)
		if err != nil {
			return err
		}
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 || tokens > maxPartTokens {
			return ErrPrompt{"number of tokens " + strconv.Quote(count)}
		}
		prompt[i] = Part{ID: PartID(number), Tokens: tokens}
	}
	*p = prompt
	return nil
}

// idDigits is the number of hexadecimal digits that fit into a PartID.
const idDigits = 16

// parseID decodes an id in hexadecimal. Longer ones are hashed; two with the same hash would only cost a prefill.
func parseID(text string) (PartID, error) {
	if len(text) > idDigits && strings.Trim(text, "0123456789abcdefABCDEF") == "" {
		return PartID(xxhash.Sum64String(strings.ToLower(text))), nil
	}
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, ErrPrompt{"id " + strconv.Quote(text)}
	}
	return PartID(number), nil
}
