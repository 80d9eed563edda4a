package jujubeserver

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// limitBody bounds the time for sending a request's body. http.Server.ReadTimeout can't be used, because it also ends
// requests that wait for their answer for longer.
func limitBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			// Connections without deadlines don't occur with TCP.
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &limitedBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// limitedBody lifts the deadline once the whole body is read. After a failed read it stays: the server reads the rest of
// the body before it answers, and would wait for a slow sender for ever.
type limitedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
