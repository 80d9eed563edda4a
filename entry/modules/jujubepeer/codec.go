package jujubepeer

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

const (
	// maxCallsPerConnection bounds the calls of a connection in progress. An instance has a few of them.
	maxCallsPerConnection = 256
	// callBytes is what a call takes in addition to its message.
	callBytes = 4 << 10
	// messageCopies is how many times the size of a message its bytes and its decoded content take.
	messageCopies = 2
	// longPrefix is the lowest first byte of a length of several bytes.
	longPrefix = 128
)

// ErrMessageTooLarge reports a message of a peer that exceeds the limit.
type ErrMessageTooLarge struct {
	Size, Limit uint64
}

// Error returns the size and the limit.
func (e ErrMessageTooLarge) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds %d", e.Size, e.Limit)
}

// ErrNoRoom reports that there is no memory for a message.
type ErrNoRoom struct{}

// Error describes the error.
func (ErrNoRoom) Error() string { return "no memory for the message" }

// meter bounds the memory of a connection's messages. The connections of a jujubehttp.Guard implement it.
type meter interface {
	Charge(size int) bool
	BeginCall()
	EndCall(size int)
	MaxMessageBytes() int
	CountMessage()
	Abort()
}

// noMeter sets no limits.
type noMeter struct{}

func (noMeter) Charge(int) bool      { return true }
func (noMeter) BeginCall()           {}
func (noMeter) EndCall(int)          {}
func (noMeter) MaxMessageBytes() int { return 0 }
func (noMeter) CountMessage()        {}
func (noMeter) Abort()               {}

// FrameReader follows the messages of encoding/gob in a stream, and ends the stream before a message that is too large. A message begins
// with its length: a byte below 128, or the negated number of the bytes that follow with it.
type FrameReader struct {
	Reader io.Reader
	// Limit is the maximum size of a message, or zero for none.
	Limit uint64
	// OnBytes is called with the size of each read; false ends the stream.
	OnBytes func(size int) bool

	// remaining is the number of bytes of the current message that haven't been read.
	remaining uint64
	// lengthBytes is the number of bytes of the length that are missing, and length what has been read of it.
	lengthBytes int
	length      uint64
}

// Read reads from the stream.
func (f *FrameReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if n > 0 && !f.OnBytes(n) {
		return 0, ErrNoRoom{}
	}
	if frameErr := f.follow(p[:n]); frameErr != nil {
		return 0, frameErr
	}
	return n, err
}

func (f *FrameReader) follow(data []byte) error {
	for len(data) > 0 {
		if f.remaining > 0 {
			skipped := min(f.remaining, uint64(len(data)))
			f.remaining -= skipped
			data = data[skipped:]
			continue
		}
		next := data[0]
		data = data[1:]
		switch {
		case f.lengthBytes > 0:
			f.length = f.length<<8 | uint64(next)
			f.lengthBytes--
		case next < longPrefix:
			f.length = uint64(next)
		default:
			f.length, f.lengthBytes = 0, 256-int(next)
			if f.lengthBytes > 8 {
				return errors.Errorf("length of %d bytes", f.lengthBytes)
			}
		}
		if f.lengthBytes > 0 {
			continue
		}
		if f.Limit > 0 && f.length > f.Limit {
			return ErrMessageTooLarge{f.length, f.Limit}
		}
		f.remaining = f.length
	}
	return nil
}

// serverCodec is the codec of net/rpc with a bound on the memory of calls in progress.
type serverCodec struct {
	conn    io.ReadWriteCloser
	meter   meter
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	// onEnd is called when no further call can be read.
	onEnd func()
	// unassigned is what was reserved for bytes that belong to no call yet. It belongs to the reader.
	unassigned int
	// current is the number of the call that is read.
	current uint64

	mu sync.Mutex
	// charged is what was reserved for each call in progress; at most maxCallsPerConnection.
	charged map[uint64]int
	closed  bool
}

func newServerCodec(conn io.ReadWriteCloser, limits meter, onEnd func()) *serverCodec {
	buffer := bufio.NewWriter(conn)
	c := &serverCodec{
		conn: conn, meter: limits, encoder: gob.NewEncoder(buffer), buffer: buffer,
		onEnd: onEnd, charged: make(map[uint64]int),
	}
	frames := &FrameReader{Reader: conn, Limit: uint64(limits.MaxMessageBytes()), OnBytes: func(size int) bool { return c.charge(messageCopies * size) }}
	c.decoder = gob.NewDecoder(readObserver{frames, onEnd})
	return c
}

// charge reserves memory. Without it the connection is closed at once: net/rpc waits for all calls before it closes one.
func (c *serverCodec) charge(size int) bool {
	if !c.meter.Charge(size) {
		c.meter.Abort()
		return false
	}
	c.unassigned += size
	return true
}

// ReadRequestHeader reads the header of the next call.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	if err := c.decoder.Decode(request); err != nil {
		c.countTooLarge(err)
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// An instance numbers its calls; a repeated number would hide the memory of a call.
	if _, isRepeated := c.charged[request.Seq]; isRepeated || len(c.charged) >= maxCallsPerConnection || !c.charge(callBytes) {
		c.meter.Abort()
		c.onEnd()
		return ErrNoRoom{}
	}
	c.current = request.Seq
	c.charged[c.current] = 0
	c.meter.BeginCall()
	return nil
}

func (c *serverCodec) countTooLarge(err error) {
	if errors.As(err, new(ErrMessageTooLarge)) {
		c.meter.CountMessage()
		c.meter.Abort()
	}
}

// ReadRequestBody reads the arguments of the call.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charged[c.current] += c.unassigned
	c.unassigned = 0
	c.countTooLarge(err)
	return err
}

// WriteResponse writes a response, which ends the call.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer func() {
		c.mu.Lock()
		charged := c.charged[response.Seq]
		delete(c.charged, response.Seq)
		c.mu.Unlock()
		c.meter.EndCall(charged)
	}()
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err != nil {
		if c.buffer.Flush() == nil {
			// The response can't be encoded, so the stream has an incomplete one.
			_ = c.Close()
		}
		return err
	}
	return c.buffer.Flush()
}

// Close closes the connection.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.conn.Close()
}
