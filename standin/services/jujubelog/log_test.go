package jujubelog_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
	"jujubepier.example/standin/services/jujubelog"
)

// start runs a log; configure changes its default settings.
func start(t *testing.T, configure func(s *jujubelog.Settings)) *jujubelog.Server {
	t.Helper()
	settings := jujubelog.DefaultSettings()
	configure(&settings)
	server, stop, err := jujubelog.Start(t.Context(), settings)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return server
}

// call returns the status, or zero when the connection was closed without a response.
func call(t *testing.T, server *jujubelog.Server, method, path, body string, reply any) int {
	t.Helper()
	status, err := jujubehost.CallJSON(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, json.RawMessage(body), reply)
	assert.Assert(t, status == 0 || err == nil, "%v", err)
	return status
}

const recordsPath = "/v1/streams/config/records"

// TestRetention guards against reads whose First doesn't show that records have expired, by count or by age.
func TestRetention(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		configure func(s *jujubelog.Settings)
		pause     time.Duration
		first     int64
	}{
		{"count", func(s *jujubelog.Settings) { s.RetainRecords = 2 }, 0, 3},
		{"age", func(s *jujubelog.Settings) { s.RetainAge = 30 * time.Millisecond }, 60 * time.Millisecond, 5},
		{"kept", func(*jujubelog.Settings) {}, 0, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			server := start(t, testCase.configure)
			last := time.Time{}
			for i := range 5 {
				var appended model.LogAppended
				assert.Equal(t, call(t, server, http.MethodPost, recordsPath, fmt.Sprintf(`{"N":%d}`, i), &appended), 200)
				assert.Equal(t, appended.Offset, int64(i))
				assert.Assert(t, !appended.At.Before(last))
				last = appended.At
			}
			time.Sleep(testCase.pause)
			var read model.LogRead
			call(t, server, http.MethodGet, recordsPath+"?From=1", "null", &read)
			assert.Equal(t, read.First, testCase.first)
			assert.Equal(t, read.Next, int64(5))
			assert.Equal(t, int64(len(read.Records)), 5-max(1, testCase.first))
			if len(read.Records) > 0 {
				assert.Equal(t, string(read.Records[0].Body), fmt.Sprintf(`{"N":%d}`, max(1, testCase.first)))
			}
		})
	}
}

// TestFaultsAndRateLimit guards against three faults of the log: a lost response after which the record is missing as well,
// an outage during which appends succeed, and a rate limit that isn't applied.
func TestFaultsAndRateLimit(t *testing.T) {
	server := start(t, func(s *jujubelog.Settings) { s.AppendsPerSecond, s.Burst = 0.001, 2 })
	server.SetFaults(jujubelog.Faults{LoseAnswers: 1})
	assert.Equal(t, call(t, server, http.MethodPost, recordsPath, `1`, nil), 0)
	server.SetFaults(jujubelog.Faults{Outage: jujubefault.OutageUnavailable})
	assert.Equal(t, call(t, server, http.MethodPost, recordsPath, `2`, nil), 503)
	assert.Equal(t, call(t, server, http.MethodPut, "/faults", `{"Outage":"Hang"}`, nil), 200)
	blocked := make(chan int, 1)
	go func() { blocked <- call(t, server, http.MethodPost, recordsPath, `3`, nil) }()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(blocked), 0)
	assert.Equal(t, call(t, server, http.MethodPut, "/faults", `{}`, nil), 200)
	assert.Equal(t, <-blocked, 200)
	assert.Equal(t, call(t, server, http.MethodPost, recordsPath, `4`, nil), 429)
	var read model.LogRead
	call(t, server, http.MethodGet, recordsPath, "null", &read)
	assert.Equal(t, len(read.Records), 2)
	assert.Equal(t, string(read.Records[1].Body), "3")
}

// TestLongPoll guards against a long poll that misses an append or doesn't return after Wait.
func TestLongPoll(t *testing.T) {
	server := start(t, func(*jujubelog.Settings) {})
	var read model.LogRead
	assert.Equal(t, call(t, server, http.MethodGet, recordsPath+"?Wait=20ms", "null", &read), 200)
	assert.Equal(t, len(read.Records), 0)
	received := make(chan int)
	go func() {
		call(t, server, http.MethodGet, recordsPath+"?From=0&Wait=10s", "null", &read)
		received <- len(read.Records)
	}()
	time.Sleep(20 * time.Millisecond)
	call(t, server, http.MethodPost, recordsPath, `{}`, nil)
	assert.Equal(t, <-received, 1)
}
