package jujubebatch

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"

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
	compressor := compressor{codec: c}
	if err := encodeValue(&compressor, value); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	data, err := compressor.finish()
	if err != nil {
		return nil, errors.Wrap(err, "compress record")
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

func encodeValue(w io.Writer, value any) error {
	if entry, ok := value.(Entry); ok && entry.Submission != nil {
		return encodeSubmission(w, entry.Submission)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// DecodeBlob decodes a value from all of its records.
func (c *Codec) DecodeBlob(records [][]byte, value any) error {
	var decoder Decoder
	for i, record := range records {
		data, err := decoder.Join(record)
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if i != len(records)-1 {
			return ErrRecord{"more records than one value has"}
		}
		err = c.decompress(data, func(plain io.Reader) error { return decodeAll(plain, value) })
		if err != nil {
			return ErrRecord{err.Error()}
		}
		return nil
	}
	return ErrRecord{"its last part is missing"}
}

// decodeAll decodes a value that isn't a submission.
func decodeAll(plain io.Reader, value any) error {
	data, err := io.ReadAll(plain)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

// DecodeEntry decodes the joined data of an entry's records. It may be called by several goroutines.
func (c *Codec) DecodeEntry(data []byte) (*Entry, error) {
	entry := &Entry{}
	err := c.decompress(data, func(plain io.Reader) error {
		reader := bufio.NewReader(plain)
		if start, _ := reader.Peek(len(submissionStart)); string(start) == submissionStart {
			return decodeSubmission(reader, entry)
		}
		return decodeAll(reader, entry)
	})
	if err != nil {
		return nil, ErrRecord{err.Error()}
	}
	return entry, nil
}

// Decoder reassembles the entries of one partition from its records.
type Decoder struct {
	// partial holds the data of an entry whose last record hasn't been read; nil for none.
	partial []byte
}

// Add adds the next record and returns an entry if the record completes one.
func (d *Decoder) Add(codec *Codec, record []byte) (*Entry, error) {
	data, err := d.Join(record)
	if err != nil || data == nil {
		return nil, err
	}
	return codec.DecodeEntry(data)
}

// BeginsEntry reports whether a record is the first one of an entry.
func BeginsEntry(record []byte) bool {
	return len(record) > 0 && (record[0] == recordWhole || record[0] == recordFirst)
}

// Join adds the next record and returns the joined data of an entry if the record completes one. A copy of the decoder can be used to look
// ahead.
func (d *Decoder) Join(record []byte) ([]byte, error) {
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
		d.partial = append(slices.Clip(d.partial), data...)
		if kind == recordMiddle {
			return nil, nil
		}
		data, d.partial = d.partial, nil
		return data, nil
	}
	return nil, ErrRecord{"unknown kind"}
}
