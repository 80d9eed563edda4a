package jujubehttp

import (
	"fmt"
	"net/http"
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

// Do sends a request like the client, and returns ErrInvalidStatus for a response that is none.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		_ = response.Body.Close() // closes the connection
		return nil, ErrInvalidStatus{Status: response.StatusCode}
	}
	return response, nil
}
