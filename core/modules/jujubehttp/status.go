package jujubehttp

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Statuses of final responses. net/http handles interim responses itself, except 101, which is only valid after a request to upgrade.
const (
	minStatus = 200
	maxStatus = 599
)

// ErrInvalidStatus is returned for a response whose status isn't that of a final response; net/http accepts any three characters that are a
// number. Nothing in such a response counts, so it isn't known whether the request has run.
type ErrInvalidStatus struct {
	Status int
}

// Error returns the status.
func (e ErrInvalidStatus) Error() string {
	return fmt.Sprintf("the response has the invalid status %03d", e.Status)
}

// Do sends a request like the client. It returns ErrInvalidStatus or ErrInvalidHead for a response that is none. Heads are checked on
// TrackedConns.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	return do(client, request, func(httptrace.GotConnInfo) {})
}

// do sends a request as Do does, and calls gotConn for each connection on which it is sent.
func do(client *http.Client, request *http.Request, gotConn func(info httptrace.GotConnInfo)) (*http.Response, error) {
	var conn atomic.Pointer[TrackedConn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if tracked, ok := info.Conn.(*TrackedConn); ok {
			tracked.expectResponse()
			conn.Store(tracked)
		}
		gotConn(info)
	}})
	response, err := client.Do(request.WithContext(ctx))
	tracked := conn.Load()
	if err != nil && tracked != nil && tracked.headError() != nil {
		return nil, tracked.headError() // net/http reports an incomplete head
	}
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode < minStatus || response.StatusCode > maxStatus:
		err = ErrInvalidStatus{Status: response.StatusCode}
	case tracked != nil && !tracked.hasResponse():
		err = ErrInvalidHead{"it arrived before the request was sent"}
	default:
		return response, nil
	}
	_ = response.Body.Close() // closes the connection
	return nil, err
}
