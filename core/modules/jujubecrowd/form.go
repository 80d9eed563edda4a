package jujubecrowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

const (
	// headBytes is the size of the heads of legal size.
	headBytes = 60 << 10
	// endlessBytes is how much a client sends of what has no end.
	endlessBytes = 1 << 20
	// missingBytes is the announced length of bodies that never come.
	missingBytes = 4 << 20
	// largeBytes is the size of the requests whose responses, of the same size, aren't read.
	largeBytes = 256 << 10
)

// distinctLines appends short header lines with different names up to a size.
func distinctLines(data []byte, size int) []byte {
	for i := 0; len(data) < size; i++ {
		data = fmt.Appendf(data, "%x: 1\r\n", i)
	}
	return data
}

// repeatedLines appends the same header line up to a size.
func repeatedLines(data []byte, size int) []byte {
	return append(data, bytes.Repeat([]byte("a: b\r\n"), (size-len(data))/6)...)
}

// oddLines appends header lines that are legal and unusual: without a value, with spaces, with bytes above 127.
func oddLines(data []byte, size int) []byte {
	for i := 0; len(data) < size; i++ {
		data = fmt.Appendf(data, "!#$%%&'*+-.^_`|~%x:\t \xff\xfe \r\nx%x:\r\n", i, i)
	}
	return data
}

func fixed(data []byte) func(int) []byte { return func(int) []byte { return data } }

// HeadForms returns the forms whose requests have no complete head, with the method, path and host of a request.
func HeadForms(method, path, host string) []Form {
	start := func() []byte { return head(method, path, host) }
	return []Form{
		{Name: "distinct lines without end", Begin: fixed(distinctLines(start(), headBytes))},
		{Name: "odd lines without end", Begin: fixed(oddLines(start(), headBytes))},
		{Name: "repeated lines without end", Begin: fixed(repeatedLines(start(), headBytes))},
		{Name: "head over the limit", Begin: fixed(distinctLines(start(), 4*headBytes))},
		{Name: "line without end", Begin: fixed(append(start(), "Long: "...)), Repeat: []byte("aaaaaaaaaaaaaaaa"), Bytes: endlessBytes},
		{Name: "request line without end", Begin: fixed([]byte("GET /")), Repeat: []byte("aaaaaaaaaaaaaaaa"), Bytes: endlessBytes},
		{Name: "empty lines", Begin: fixed([]byte("\r\n\r\n")), Repeat: []byte("\r\n"), Bytes: endlessBytes},
		{Name: "line feeds", Begin: fixed([]byte("\n")), Repeat: []byte("\n"), Bytes: endlessBytes},
	}
}

// BodyForms returns the forms whose requests have a complete head and no complete body.
func BodyForms(path, host string) []Form {
	start := func() []byte { return head("POST", path, host) }
	missing := fmt.Appendf(nil, "Content-Length: %d\r\n\r\n", missingBytes)
	chunked := []byte("Transfer-Encoding: chunked\r\n\r\n")
	return []Form{
		{Name: "distinct lines and no body", Begin: fixed(append(distinctLines(start(), headBytes), missing...))},
		{Name: "odd lines and no body", Begin: fixed(append(oddLines(start(), headBytes), missing...))},
		{Name: "repeated lines and no body", Begin: fixed(append(repeatedLines(start(), headBytes), missing...))},
		{Name: "no body", Begin: fixed(append(start(), missing...))},
		{Name: "expect and no body", Begin: fixed(append(append(start(), "Expect: 100-continue\r\n"...), missing...))},
		{Name: "body that stops", Begin: fixed(append(append(start(), missing...), make([]byte, 1<<20)...))},
		{Name: "chunk extension", Begin: fixed(append(append(start(), chunked...), "1;a="...)), Repeat: []byte("aaaaaaaa"), Bytes: endlessBytes},
		{Name: "small chunks", Begin: fixed(append(start(), chunked...)), Repeat: []byte("1;a=b\r\na\r\n"), Bytes: 4 * endlessBytes},
		{Name: "trailers", Begin: fixed(append(append(start(), chunked...), "0\r\n"...)), Repeat: []byte("a: b\r\n"), Bytes: endlessBytes},
	}
}

// ReaderForms returns the forms whose requests are complete and whose responses aren't read. The response to a POST has the size of
// the request.
func ReaderForms(path, host string) []Form {
	large := fmt.Appendf(head("POST", path, host), "Content-Length: %d\r\n\r\n", largeBytes)
	large = append(large, make([]byte, largeBytes)...)
	small := append(head("POST", path, host), "Content-Length: 1\r\n\r\na"...)
	lines := append(distinctLines(head("GET", path, host), 3<<10), "\r\n"...)
	return []Form{
		{Name: "large responses", Begin: fixed(large), Waits: true},
		{Name: "large pipelined responses", Begin: fixed(bytes.Repeat(large, 4)), Waits: true},
		{Name: "pipelined requests", Begin: fixed(small), Repeat: small, Bytes: endlessBytes, Waits: true},
		{Name: "pipelined lines", Begin: fixed(lines), Repeat: lines, Bytes: endlessBytes, Waits: true},
	}
}

// ConnectionForms returns the forms whose connections are idle or speak another protocol.
func ConnectionForms(method, path, host string) []Form {
	start := head(method, path, host)
	request := append(bytes.Clone(start), "\r\n"...)
	return []Form{
		{Name: "silence", Begin: fixed(nil)},
		{Name: "half a line", Begin: fixed(start[:len(start)/2])},
		{Name: "idle after a request", Begin: fixed(request), Waits: true},
		{Name: "upgrade", Begin: fixed(append(bytes.Clone(start), "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"...)), Repeat: []byte("\x81\x01a"), Bytes: endlessBytes},
		{Name: "HTTP/2 upgrade", Begin: fixed(append(bytes.Clone(start), "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n"...))},
		{Name: "HTTP/2 preface", Begin: fixed([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")), Repeat: []byte("\x00\x00\x00\x04\x00\x00\x00\x00\x00"), Bytes: endlessBytes},
	}
}

// PeerForms returns the forms for a listener of net/rpc.
func PeerForms() []Form {
	// A message of gob begins with its length: a byte with the negated number of bytes, and the bytes.
	length := binary.BigEndian.AppendUint32([]byte{256 - 4}, 512<<20)
	return []Form{
		{Name: "silence", Begin: fixed(nil)},
		{Name: "message without end", Begin: fixed(length), Repeat: make([]byte, 64), Bytes: 2 * endlessBytes},
		{Name: "another protocol", Begin: fixed(request()), Repeat: []byte("a: b\r\n"), Bytes: endlessBytes},
	}
}

func request() []byte { return head("GET", "/", "peer") }
