package jujubebatch

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Kinds of log records. An entry that doesn't fit into one record is split into consecutive records of a single append.
const (
	recordWhole  byte = 'W'
	recordFirst  byte = 'F'
	recordMiddle byte = 'M'
	recordLast   byte = 'L'
)

// ErrRecord reports a record that can't be decoded. All readers skip the same records.
type ErrRecord struct {
	Reason string
}

// Error returns the reason.
func (e ErrRecord) Error() string { return "log record: " + e.Reason }

// EncodeEntry returns the records of an entry. They must be written in a single append.
func (c *Codec) EncodeEntry(entry Entry, maxRecord int) ([][]byte, error) {
	return c.EncodeBlob(entry, maxRecord)
}

// EncodeBlob returns the records of a value. They must be written in a single append.
func (c *Codec) EncodeBlob(value any, maxRecord int) ([][]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if data, err = c.compress(data); err != nil {
		return nil, err
	}
	if len(data) < maxRecord {
		return [][]byte{append([]byte{recordWhole}, data...)}, nil
	}
	var records [][]byte
	for kind := recordFirst; len(data) > 0; kind = recordMiddle {
		size := min(len(data), maxRecord-1)
		if size == len(data) {
			kind = recordLast
		}
		records = append(records, append([]byte{kind}, data[:size]...))
		data = data[size:]
	}
	return records, nil
}

// DecodeBlob decodes a value from all of its records.
func (c *Codec) DecodeBlob(records [][]byte, value any) error {
	var decoder Decoder
	for i, record := range records {
		data, err := decoder.addRecord(record)
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if i != len(records)-1 {
			return ErrRecord{"more records than one value has"}
		}
		return c.decode(data, value)
	}
	return ErrRecord{"its last part is missing"}
}

func (c *Codec) decode(data []byte, value any) error {
	data, err := c.decompress(data)
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	if err != nil {
		return ErrRecord{err.Error()}
	}
	return nil
}

// Decoder reassembles the entries of one partition from its records.
type Decoder struct {
	// partial holds the data of an entry whose last record hasn't been read; nil for none.
	partial []byte
}

// Add adds the next record and returns an entry if the record completes one.
func (d *Decoder) Add(codec *Codec, record []byte) (*Entry, error) {
	data, err := d.addRecord(record)
	if err != nil || data == nil {
		return nil, err
	}
	entry := &Entry{}
	if err := codec.decode(data, entry); err != nil {
		return nil, err
	}
	return entry, nil
}

// addRecord adds the next record and returns the joined data if the record completes it.
func (d *Decoder) addRecord(record []byte) ([]byte, error) {
	if len(record) == 0 {
		return nil, ErrRecord{"empty"}
	}
	kind, data := record[0], record[1:]
	switch kind {
	case recordWhole:
		d.partial = nil
		return data, nil
	case recordFirst:
		d.partial = append([]byte{}, data...)
		return nil, nil
	case recordMiddle, recordLast:
		if d.partial == nil {
			return nil, ErrRecord{"its first part has expired"}
		}
		d.partial = append(d.partial, data...)
		if kind == recordMiddle {
			return nil, nil
		}
		data, d.partial = d.partial, nil
		return data, nil
	}
	return nil, ErrRecord{"unknown kind"}
}
