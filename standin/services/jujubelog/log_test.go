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

func start(t *testing.T, change func(s *jujubelog.Settings)) *jujubelog.Server {
	t.Helper()
	settings := jujubelog.DefaultSettings()
	change(&settings)
	server, stop, err := jujubelog.Start(t.Context(), settings)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return server
}

// do returns the status, or zero when the connection was closed without an answer.
func do(t *testing.T, server *jujubelog.Server, method, path, body string, answer any) int {
	t.Helper()
	status, err := jujubehost.Call(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, json.RawMessage(body), answer)
	assert.Assert(t, status == 0 || err == nil, "%v", err)
	return status
}

const records = "/v1/streams/config/records"

// Guards against reads that hide the loss of expired records, by count or by age.
func TestRetention(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(s *jujubelog.Settings)
		pause  time.Duration
		first  int64
	}{
		{"count", func(s *jujubelog.Settings) { s.RetainRecords = 2 }, 0, 3},
		{"age", func(s *jujubelog.Settings) { s.RetainAge = 30 * time.Millisecond }, 60 * time.Millisecond, 5},
		{"kept", func(*jujubelog.Settings) {}, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			server := start(t, row.change)
			last := time.Time{}
			for i := range 5 {
				var appended model.LogAppended
				assert.Equal(t, do(t, server, http.MethodPost, records, fmt.Sprintf(`{"N":%d}`, i), &appended), 200)
				assert.Equal(t, appended.Offset, int64(i))
				assert.Assert(t, !appended.At.Before(last))
				last = appended.At
			}
			time.Sleep(row.pause)
			var read model.LogRead
			do(t, server, http.MethodGet, records+"?From=1", "null", &read)
			assert.Equal(t, read.First, row.first)
			assert.Equal(t, read.Next, int64(5))
			assert.Equal(t, int64(len(read.Records)), 5-max(1, row.first))
			if len(read.Records) > 0 {
				assert.Equal(t, string(read.Records[0].Body), fmt.Sprintf(`{"N":%d}`, max(1, row.first)))
			}
		})
	}
}

// Guards against a lost answer that also loses the record, an outage that lets appends through, and a missing rate limit.
func TestFaultsAndRateLimit(t *testing.T) {
	server := start(t, func(s *jujubelog.Settings) { s.AppendsPerSecond, s.Burst = 0.001, 2 })
	server.SetFaults(jujubelog.Faults{LoseAnswers: 1})
	assert.Equal(t, do(t, server, http.MethodPost, records, `1`, nil), 0)
	server.SetFaults(jujubelog.Faults{Outage: jujubefault.OutageUnavailable})
	assert.Equal(t, do(t, server, http.MethodPost, records, `2`, nil), 503)
	assert.Equal(t, do(t, server, http.MethodPut, "/faults", `{"Outage":"Hang"}`, nil), 200)
	hung := make(chan int, 1)
	go func() { hung <- do(t, server, http.MethodPost, records, `3`, nil) }()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(hung), 0)
	assert.Equal(t, do(t, server, http.MethodPut, "/faults", `{}`, nil), 200)
	assert.Equal(t, <-hung, 200)
	assert.Equal(t, do(t, server, http.MethodPost, records, `4`, nil), 429)
	var read model.LogRead
	do(t, server, http.MethodGet, records, "null", &read)
	assert.Equal(t, len(read.Records), 2)
	assert.Equal(t, string(read.Records[1].Body), "3")
}

// Guards against a long poll that misses an append or doesn't end.
func TestLongPoll(t *testing.T) {
	server := start(t, func(*jujubelog.Settings) {})
	var read model.LogRead
	assert.Equal(t, do(t, server, http.MethodGet, records+"?Wait=20ms", "null", &read), 200)
	assert.Equal(t, len(read.Records), 0)
	done := make(chan int)
	go func() {
		do(t, server, http.MethodGet, records+"?From=0&Wait=10s", "null", &read)
		done <- len(read.Records)
	}()
	time.Sleep(20 * time.Millisecond)
	do(t, server, http.MethodPost, records, `{}`, nil)
	assert.Equal(t, <-done, 1)
}
