// Package jujubejson decodes large JSON texts part by part.
package jujubejson

import (
	"encoding/json"
	"fmt"
)

// ErrSyntax reports a token in the place of another one.
type ErrSyntax struct {
	Found json.Token
	Want  string
}

// Error returns the tokens.
func (e ErrSyntax) Error() string { return fmt.Sprintf("JSON: %v in the place of %s", e.Found, e.Want) }

// DecodeObject calls decodeMember with the name of each member of an object before its value.
func DecodeObject(decoder *json.Decoder, decodeMember func(name string) error) error {
	if isNull, err := decodeDelimiter(decoder, '{'); isNull || err != nil {
		return err
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return ErrSyntax{Found: token, Want: "a name"}
		}
		if err := decodeMember(name); err != nil {
			return err
		}
	}
	_, err := decodeDelimiter(decoder, '}')
	return err
}

// DecodeArray calls decodeElement before each element of an array.
func DecodeArray(decoder *json.Decoder, decodeElement func() error) error {
	if isNull, err := decodeDelimiter(decoder, '['); isNull || err != nil {
		return err
	}
	for decoder.More() {
		if err := decodeElement(); err != nil {
			return err
		}
	}
	_, err := decodeDelimiter(decoder, ']')
	return err
}

// decodeDelimiter reads a delimiter, or null in the place of a value.
func decodeDelimiter(decoder *json.Decoder, delimiter json.Delim) (isNull bool, err error) {
	token, err := decoder.Token()
	switch {
	case err != nil:
		return false, err
	case token == nil:
		return true, nil
	case token != delimiter:
		return false, ErrSyntax{Found: token, Want: delimiter.String()}
	}
	return false, nil
}

// Skip reads a value of any size without keeping it.
func Skip(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
