package jujubehttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// BenchmarkRequest measures an ordinary request on a kept connection over loopback, without and with a guard.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"plain", "guarded"} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			address := listener.Addr().String()
			if name == "guarded" {
				listener = jujubehttp.NewGuard(jujubehttp.GuardSettings{MaxHeldBytes: smallMachine}).Listen(listener)
			}
			server := jujubehttp.Serve(&http.Server{Handler: http.HandlerFunc(echo)}, listener)
			defer server.Close()
			conn, err := net.Dial("tcp", address)
			assert.NilError(b, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			const request = "POST /route/of/a/service HTTP/1.1\r\nHost: service.example\r\nUser-Agent: Go-http-client/1.1\r\nContent-Length: 16\r\n" +
				"X-Deadline-Ms: 2000\r\nX-Request-Id: request-1\r\nAccept-Encoding: gzip\r\n\r\n0123456789abcdef"
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, request)
				assert.NilError(b, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(b, err)
			}
		})
	}
}
