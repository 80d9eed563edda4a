// Package jujubelines reads the log lines of instances.
package jujubelines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubeevent"
)

// maxLine bounds a log line; the longest are those of member changes, with a state for each instance.
const maxLine = 1 << 20

// Line is a log line.
type Line struct {
	Time time.Time
	// Instance is what the collector put before the line, or else the log's name.
	Instance string
	Event    jujubeevent.Number
	Name     string
	// Fields are the others, without those above.
	Fields map[string]any
}

// Text returns a field's text, empty when it has none.
func (l Line) Text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// Number returns a field's number, 0 when it has none.
func (l Line) Number(field string) float64 {
	number, _ := l.Fields[field].(float64)
	return number
}

// Read passes a log's lines on with their text. Those that aren't JSON, such as the last one of a process that was killed,
// are passed over.
func Read(name string, input io.Reader, take func(text []byte, line Line)) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := decode(text[start:])
		if !ok {
			continue
		}
		line.Instance = name
		if words := strings.Fields(string(text[:start])); len(words) > 0 {
			line.Instance = words[len(words)-1]
		}
		take(text, line)
	}
	return errors.Wrapf(scanner.Err(), "read %s", name)
}

func decode(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	var line Line
	number, _ := fields["Event"].(float64)
	line.Event = jujubeevent.Number(number)
	line.Name, _ = fields["msg"].(string)
	at, _ := fields["time"].(string)
	line.Time, _ = time.Parse(time.RFC3339Nano, at) // a line without a time sorts first
	for _, key := range []string{"Event", "msg", "time", "level"} {
		delete(fields, key)
	}
	line.Fields = fields
	return line, line.Event != 0
}
