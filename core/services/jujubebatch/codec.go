package jujubebatch

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// compressFrom is the size from which on an entry is compressed. Bodies and texts shrink by a third or more, which counts
// when all instances read the log again at once.
const compressFrom = 1 << 10

// maxEntry bounds an entry that is decompressed, so that broken records don't take all memory: twice the largest submission.
const maxEntry = 64 << 20

// Kinds of log records. An entry that is larger than a record is cut into consecutive records of one append.
const (
	recordWhole  byte = 'W'
	recordFirst  byte = 'F'
	recordMiddle byte = 'M'
	recordLast   byte = 'L'
)

// ErrRecord is a record that can't be used; readers pass over it, all in the same way.
type ErrRecord struct {
	Reason string
}

// Error gives the reason.
func (e ErrRecord) Error() string { return "log record: " + e.Reason }

// EncodeEntry returns the records of an entry, which have to be appended together.
func EncodeEntry(entry Entry, maxRecord int) ([][]byte, error) {
	return EncodeBlob(entry, maxRecord)
}

// EncodeBlob returns the records of a value, which have to be appended together.
func EncodeBlob(value any, maxRecord int) ([][]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if data, err = pack(data); err != nil {
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

// DecodeBlob reads a value from all of its records.
func DecodeBlob(records [][]byte, value any) error {
	var decoder Decoder
	for i, record := range records {
		data, err := decoder.join(record)
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if i != len(records)-1 {
			return ErrRecord{"more records than one value has"}
		}
		return decode(data, value)
	}
	return ErrRecord{"its last part is missing"}
}

func decode(data []byte, value any) error {
	data, err := unpack(data)
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	if err != nil {
		return ErrRecord{err.Error()}
	}
	return nil
}

// Decoder joins the records of one partition to entries.
type Decoder struct {
	// partial holds the records of an entry of which the last one hasn't been read; nil for none.
	partial []byte
}

// Add takes the next record and returns an entry when it is complete.
func (d *Decoder) Add(record []byte) (*Entry, error) {
	data, err := d.join(record)
	if err != nil || data == nil {
		return nil, err
	}
	entry := &Entry{}
	if err := decode(data, entry); err != nil {
		return nil, err
	}
	return entry, nil
}

// join takes the next record and returns the whole once its last part is there.
func (d *Decoder) join(record []byte) ([]byte, error) {
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

// pack compresses a large entry. An entry in plain JSON begins with a brace, a compressed one with packed.
func pack(data []byte) ([]byte, error) {
	if len(data) < compressFrom {
		return data, nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(packed)
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress entry")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress entry")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress entry")
	}
	return buffer.Bytes(), nil
}

const packed byte = 'Z'

func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packed {
		return data, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxEntry))
	return plain, errors.Wrap(err, "decompress entry")
}
