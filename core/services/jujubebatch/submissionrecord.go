package jujubebatch

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubejson"
)

// The record of a submission is encoded and decoded item by item, since its plain text may be several times as large as the memory that
// the items take.

// submissionStart is the beginning of the plain text of a submission's record, as the first field of an Entry.
const submissionStart = `{"Submission":`

// minItemBlock and maxItemBlock bound the number of items that are decoded into one allocation before their number is known.
const (
	minItemBlock = 1 << 4
	maxItemBlock = 1 << 10
)

// encodeSubmission encodes an entry with a submission.
func encodeSubmission(w io.Writer, s *Submission) error {
	head := *s
	head.Items = nil
	data, err := json.Marshal(Entry{Submission: &head})
	if err != nil {
		return err
	}
	// In a string the quotes would be escaped.
	before, after, ok := bytes.Cut(data, []byte(`"Items":null`))
	if !ok || s.Items == nil {
		_, err = w.Write(data)
		return err
	}
	if _, err = w.Write(append(before, `"Items":[`...)); err != nil {
		return err
	}
	for i := range s.Items {
		item, err := json.Marshal(&s.Items[i])
		if err != nil {
			return err
		}
		if i > 0 {
			item = append([]byte{','}, item...)
		}
		if _, err := w.Write(item); err != nil {
			return err
		}
	}
	_, err = w.Write(append([]byte{']'}, after...))
	return err
}

// decodeSubmission decodes an entry that begins with a submission.
func decodeSubmission(r io.Reader, entry *Entry) error {
	decoder := json.NewDecoder(r)
	err := jujubejson.DecodeObject(decoder, func(name string) error {
		if name == "Submission" {
			s := &Submission{}
			entry.Submission = s
			fields := map[string]any{
				"ID": &s.ID, "Host": &s.Host, "Path": &s.Path, "Model": &s.Model, "Organisation": &s.Organisation, "MinVersion": &s.MinVersion,
				"GroupCount": &s.GroupCount, "Accepted": &s.Accepted, "Chunks": &s.Chunks, "By": &s.By, "DesiredVersion": &s.DesiredVersion,
			}
			return jujubejson.DecodeObject(decoder, func(name string) error {
				if name == "Items" {
					return s.decodeItems(decoder)
				}
				if field, ok := fields[name]; ok {
					return decoder.Decode(field)
				}
				return jujubejson.Skip(decoder)
			})
		}
		return jujubejson.Skip(decoder)
	})
	if err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrRecord{"data after the entry"}
	}
	return nil
}

func (s *Submission) decodeItems(decoder *json.Decoder) error {
	var items ItemList
	err := jujubejson.DecodeArray(decoder, func() error {
		var item Item
		if err := decoder.Decode(&item); err != nil {
			return err
		}
		items.Add(item)
		return nil
	})
	s.Items = items.Items()
	return err
}

// ItemList collects the items of a submission, whose number isn't known.
type ItemList struct {
	blocks [][]Item
	// last is the latest item.
	last *Item
	// Len is the number of items.
	Len int
}

// Add adds an item. Consecutive items of one group have one copy of its name.
func (l *ItemList) Add(item Item) {
	if l.last != nil && l.last.Group == item.Group {
		item.Group = l.last.Group
	}
	if n := len(l.blocks); n == 0 || len(l.blocks[n-1]) == cap(l.blocks[n-1]) {
		l.blocks = append(l.blocks, make([]Item, 0, min(max(l.Len, minItemBlock), maxItemBlock)))
	}
	block := &l.blocks[len(l.blocks)-1]
	*block = append(*block, item)
	l.last = &(*block)[len(*block)-1]
	l.Len++
}

// Items returns the items in one slice and empties the list.
func (l *ItemList) Items() []Item {
	items := make([]Item, 0, l.Len)
	for i, block := range l.blocks {
		items = append(items, block...)
		l.blocks[i] = nil
	}
	*l = ItemList{}
	return items
}
