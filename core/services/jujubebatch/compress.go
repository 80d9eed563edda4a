package jujubebatch

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// minCompressBytes is the size from which on an entry is compressed. Bodies and texts shrink by a third or more, which
// matters when all instances reread the log at the same time.
const minCompressBytes = 1 << 10

// maxEntryBytes limits the size of a decompressed entry, so that a corrupt record can't exhaust the memory. It is twice the
// largest submission.
const maxEntryBytes = 64 << 20

// Codec encodes and decodes log records. It may be used by several goroutines.
type Codec struct {
	// writers and readers each hold at most one for the next entry: a writer takes 1.2 MB, and allocating it takes longer than
	// compressing a text.
	writers spare[*flate.Writer]
	readers spare[io.ReadCloser]
}

// NewCodec returns a codec without spares.
func NewCodec() *Codec {
	return &Codec{writers: newSpare[*flate.Writer](), readers: newSpare[io.ReadCloser]()}
}

// spare keeps at most one value for reuse.
type spare[T any] chan T

func newSpare[T any]() spare[T] { return make(spare[T], 1) }

// take returns the value, if there is one.
func (s spare[T]) take() (value T, ok bool) {
	select {
	case value = <-s:
		return value, true
	default:
		return value, false
	}
}

// put keeps a value unless there is one.
func (s spare[T]) put(value T) {
	select {
	case s <- value:
	default:
	}
}

// compress compresses data of at least minCompressBytes. Plain JSON begins with a brace, compressed data with
// compressedMarker.
func (c *Codec) compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(compressedMarker)
	writer, ok := c.writers.take()
	if ok {
		writer.Reset(&buffer)
	} else {
		var err error
		if writer, err = flate.NewWriter(&buffer, flate.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "compress entry")
		}
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress entry")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress entry")
	}
	writer.Reset(nil)
	c.writers.put(writer)
	return buffer.Bytes(), nil
}

const compressedMarker byte = 'Z'

func (c *Codec) decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	source := bytes.NewReader(data[1:])
	reader, ok := c.readers.take()
	if !ok {
		reader = flate.NewReader(source)
	} else if err := reader.(flate.Resetter).Reset(source, nil); err != nil {
		return nil, errors.Wrap(err, "decompress entry")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxEntryBytes))
	c.readers.put(reader)
	return plain, errors.Wrap(err, "decompress entry")
}
