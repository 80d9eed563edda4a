package jujubehttp_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubehttp"
)

// TestInvalidStatus guards against responses whose status is none being taken for answers: net/http accepts any three characters that are
// a number.
func TestInvalidStatus(t *testing.T) {
	server := newRawServer(t, func(target string, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 "+target[1:]+" X\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	for status, isValid := range map[string]bool{
		"000": false, "001": false, "042": false, "099": false, "+20": false, "101": false, "600": false, "999": false,
		"200": true, "302": true, "404": true, "500": true, "599": true,
	} {
		for name, do := range map[string]func(*http.Client, *http.Request) (*http.Response, error){"once": jujubehttp.SendOnce, "plainly": jujubehttp.Do} {
			client := newTrackedClient(t, sameConn)
			client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.address+"/"+status, http.NoBody)
			assert.NilError(t, err)
			response, err := do(client, request)
			assert.Check(t, (err == nil) == isValid && errors.As(err, new(jujubehttp.ErrInvalidStatus)) != isValid, "%s, sent %s: %v", status, name, err)
			if err == nil {
				assert.NilError(t, response.Body.Close())
			}
		}
	}
}

// TestHandlerPanic guards against a panic of a handler that ends without a trace, or that leaves a response behind which looks complete.
func TestHandlerPanic(t *testing.T) {
	var reports []any
	handler := jujubehttp.ReportPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/fault":
			panic("a fault")
		}
	}), func(_ *http.Request, value any, stack []byte) {
		assert.Check(t, len(stack) > 0)
		reports = append(reports, value)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	for _, c := range []struct {
		path       string
		isComplete bool
		reports    int
	}{{"/sound", true, 0}, {"/abort", false, 0}, {"/fault", false, 1}, {"/sound", true, 1}} {
		response, err := http.Get(server.URL + c.path)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		assert.Check(t, (err == nil) == c.isComplete && len(reports) == c.reports, "%s: %v, %v", c.path, err, reports)
	}
}
