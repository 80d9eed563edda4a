package jujubehttp_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
)

// TestDecodeBody guards against bodies that are accepted although they are incomplete, too large or have misspelt
// fields.
func TestDecodeBody(t *testing.T) {
	const limit = 40
	for _, test := range []struct{ name, body, code string }{
		{"value", `{"Stream":"a/1"}`, ""},
		{"blanks after the value", `{"Stream":"a/1"}` + "\n ", ""},
		{"unknown field", `{"Streams":"a/1"}`, jujubeerror.CodeBadRequest},
		{"second value", `{"Stream":"a"} {}`, jujubeerror.CodeBadRequest},
		{"cut off", `{"Stream":"a`, jujubeerror.CodeBadRequest},
		{"empty", ``, jujubeerror.CodeBadRequest},
		{"wrong type", `{"Stream":1}`, jujubeerror.CodeBadRequest},
		{"too large", `{"Stream":"` + strings.Repeat("a", limit) + `"}`, jujubeerror.CodeTooLarge},
		{"too large by blanks", `{"Stream":"a/1"}` + strings.Repeat(" ", limit), jujubeerror.CodeTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			var value model.CancelRequest
			request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(test.body))
			err := jujubehttp.DecodeBody(httptest.NewRecorder(), request, limit, &value)
			refused, isRefused := jujubeerror.IsErrRefused(err)
			assert.Equal(t, isRefused, test.code != "")
			assert.Equal(t, refused.Code, test.code)
			if test.code != "" {
				assert.Equal(t, refused.Ran, model.RanNo)
			}
		})
	}
}

// TestWriteRefusal guards against a refusal whose status or Retry-After header contradicts its body, and against an unknown
// error that reports that nothing ran.
func TestWriteRefusal(t *testing.T) {
	for _, test := range []struct {
		err        error
		status     int
		code       string
		ran        model.Ran
		retryAfter string
	}{
		{jujubeerror.ErrRefused{Code: jujubeerror.CodeOverloaded, Ran: model.RanNo, RetryAfter: 1200 * time.Millisecond}, 429, jujubeerror.CodeOverloaded, model.RanNo, "2"},
		{jujubeerror.ErrRefused{Code: jujubeerror.CodeLeaving, Ran: model.RanNo, RetryAfter: time.Millisecond}, 503, jujubeerror.CodeLeaving, model.RanNo, "1"},
		{jujubeerror.ErrRefused{Code: jujubeerror.CodeQuarantined, Ran: model.RanUnknown}, 422, jujubeerror.CodeQuarantined, model.RanUnknown, ""},
		{errors.New("broken"), 500, jujubeerror.CodeInternal, model.RanUnknown, ""},
	} {
		recorder := httptest.NewRecorder()
		jujubehttp.WriteRefusal(recorder, test.err, nil)
		var refusal model.Refusal
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal))
		assert.Equal(t, recorder.Code, test.status)
		assert.Equal(t, refusal.Code, test.code)
		assert.Equal(t, refusal.Ran, test.ran)
		assert.Equal(t, recorder.Header().Get(model.HeaderRan), string(test.ran))
		assert.Equal(t, recorder.Header().Get("Retry-After"), test.retryAfter)
		// The client reads the same refusal that the server wrote.
		read, isRefused := jujubeerror.IsErrRefused(jujubehttp.ResponseError(recorder.Result()))
		assert.Assert(t, isRefused)
		assert.Equal(t, read.Code, test.code)
	}
}
