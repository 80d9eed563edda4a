package jujubeserver

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// limitBody bounds the time that a client may take to send a request's body. http.Server.ReadTimeout can't be used, because
// it also aborts requests that wait longer than that for their response.
func limitBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			// SetReadDeadline is always supported on TCP connections.
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &limitedBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// limitedBody removes the read deadline once the whole body has been read. After a failed read the deadline stays: the server
// reads the rest of the body before it responds, and without a deadline would wait forever for a slow client.
type limitedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body and removes the deadline at its end.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
