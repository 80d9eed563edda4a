package jujubebatch

import (
	"bytes"
	"compress/flate"
	"io"
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

// compressor compresses what is written to it if that is at least minCompressBytes. Plain JSON begins with a brace, compressed data with
// compressedMarker.
type compressor struct {
	codec  *Codec
	buffer bytes.Buffer
	// writer is nil while less than minCompressBytes have been written.
	writer *flate.Writer
}

// Write implements io.Writer.
func (c *compressor) Write(data []byte) (int, error) {
	if c.writer == nil && c.buffer.Len()+len(data) < minCompressBytes {
		return c.buffer.Write(data)
	}
	if c.writer == nil {
		plain := bytes.Clone(c.buffer.Bytes())
		c.buffer.Reset()
		c.buffer.WriteByte(compressedMarker)
		var ok bool
		if c.writer, ok = c.codec.writers.take(); ok {
			c.writer.Reset(&c.buffer)
		} else {
			var err error
			if c.writer, err = flate.NewWriter(&c.buffer, flate.BestSpeed); err != nil {
				return 0, err
			}
		}
		if _, err := c.writer.Write(plain); err != nil {
			return 0, err
		}
	}
	return c.writer.Write(data)
}

// finish returns the data.
func (c *compressor) finish() ([]byte, error) {
	if c.writer == nil {
		return c.buffer.Bytes(), nil
	}
	if err := c.writer.Close(); err != nil {
		return nil, err
	}
	c.writer.Reset(nil)
	c.codec.writers.put(c.writer)
	return c.buffer.Bytes(), nil
}

const compressedMarker byte = 'Z'

// decompress calls decode with the plain data.
func (c *Codec) decompress(data []byte, decode func(plain io.Reader) error) error {
	if len(data) == 0 || data[0] != compressedMarker {
		return decode(bytes.NewReader(data))
	}
	source := bytes.NewReader(data[1:])
	reader, ok := c.readers.take()
	if !ok {
		reader = flate.NewReader(source)
	} else if err := reader.(flate.Resetter).Reset(source, nil); err != nil {
		return err
	}
	defer c.readers.put(reader)
	return decode(io.LimitReader(reader, maxEntryBytes))
}
