// Package jujubelines parses the JSON log lines of instances.
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

// maxLineBytes bounds a log line. The longest lines are those of member changes, which hold a state for each instance.
const maxLineBytes = 1 << 20

// Line is a decoded log line.
type Line struct {
	Time time.Time
	// Instance is the last word before the JSON, where a log collector writes it, or the log's name without such a prefix.
	Instance string
	Event    jujubeevent.Number
	Name     string
	// Fields holds the remaining fields: all but the time, the event number, its name and the level.
	Fields map[string]any
}

// Text returns the value of a string field, or the empty string if the line has no such string.
func (l Line) Text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// Number returns the value of a numeric field, or 0 if the line has no such number.
func (l Line) Number(field string) float64 {
	number, _ := l.Fields[field].(float64)
	return number
}

// Read calls visit with the text and the decoded form of each line of a log. Lines that aren't valid JSON, such as the
// truncated last line of a killed process, and lines without an event number are skipped.
func Read(name string, input io.Reader, visit func(text []byte, line Line)) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
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
		visit(text, line)
	}
	return errors.Wrapf(scanner.Err(), "read log %s", name)
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
	timestamp, _ := fields["time"].(string)
	line.Time, _ = time.Parse(time.RFC3339Nano, timestamp) // a line without a time sorts first
	for _, key := range []string{"Event", "msg", "time", "level"} {
		delete(fields, key)
	}
	line.Fields = fields
	return line, line.Event != 0
}
