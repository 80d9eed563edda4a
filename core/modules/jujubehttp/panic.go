package jujubehttp

import (
	"net/http"
	"runtime/debug"
)

// ReportPanics returns a handler that reports a panic of another one, with its value and the stack. The connection is then closed without the
// end of the response. A handler that wants just that panics with http.ErrAbortHandler, which isn't reported.
func ReportPanics(handler http.Handler, report func(r *http.Request, value any, stack []byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				report(r, value, debug.Stack())
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}
